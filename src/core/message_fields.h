#pragma once
// Macros with which a message lists its fields. Frames and schemas use the field names given here.

#define PEPPERGATE_FIELDS(...)                      \
  template <class Self, class Visitor>              \
  static void visit(Self& self, Visitor& visitor) { \
    __VA_ARGS__                                     \
  }
#define PEPPERGATE_FIELD(name) visitor(#name, self.name);
