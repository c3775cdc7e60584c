#pragma once
// Macros with which a message lists its fields. Frames and schemas use the field names given here.

#define PEPPERGATE_FIELDS(...)                      \
  template <class Self, class Visitor>              \
  static void visit(Self& self, Visitor& visitor) { \
    __VA_ARGS__                                     \
  }
#define PEPPERGATE_FIELD(name) visitor(#name, self.name);

/// A field whose name in frames and schemas differs from its member's, so that the member can have
/// a clearer name while peers and stored files keep the old one.
#define PEPPERGATE_FIELD_AS(name, outer) visitor(outer, self.name);
