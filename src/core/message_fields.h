#pragma once
// How a message names its fields: frames and schemas are made from these names.

#define PEPPERGATE_FIELDS(...)                      \
  template <class Self, class Visitor>              \
  static void visit(Self& self, Visitor& visitor) { \
    __VA_ARGS__                                     \
  }
#define PEPPERGATE_FIELD(name) visitor(#name, self.name);
