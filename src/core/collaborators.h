#pragma once
/// Base classes that hold the references of each control module to other modules. Copy assignment
/// of a module copies its state and keeps these references, so that a node's state can be copied
/// into another node.
#include <functional>

#include "core/random.h"

namespace peppergate {

class Acceptor;
class Follower;
class Leadership;
class Membership;
struct Shuffle;

struct MembershipCollaborators {
  explicit MembershipCollaborators(Random& random) : random_(random) {}
  MembershipCollaborators(const MembershipCollaborators&) = delete;
  MembershipCollaborators& operator=(const MembershipCollaborators&) { return *this; }

 protected:
  Random& random_;
  std::function<void(Shuffle&)> fillShuffle_{};
};

struct LeadershipCollaborators {
  LeadershipCollaborators(Acceptor& acceptor, Membership& membership, Random& random)
      : acceptor_(acceptor), membership_(membership), random_(random) {}
  LeadershipCollaborators(const LeadershipCollaborators&) = delete;
  LeadershipCollaborators& operator=(const LeadershipCollaborators&) { return *this; }

 protected:
  Acceptor& acceptor_;
  Membership& membership_;
  Random& random_;
};

struct FollowerCollaborators {
  FollowerCollaborators(Membership& membership, Random& random)
      : membership_(membership), random_(random) {}
  FollowerCollaborators(const FollowerCollaborators&) = delete;
  FollowerCollaborators& operator=(const FollowerCollaborators&) { return *this; }

 protected:
  Membership& membership_;
  Random& random_;
};

struct ReadOnlyLeaderCollaborators {
  ReadOnlyLeaderCollaborators(Acceptor& acceptor, Leadership& leadership, Membership& membership,
                              Follower& follower, Random& random)
      : acceptor_(acceptor),
        leadership_(leadership),
        membership_(membership),
        follower_(follower),
        random_(random) {}
  ReadOnlyLeaderCollaborators(const ReadOnlyLeaderCollaborators&) = delete;
  ReadOnlyLeaderCollaborators& operator=(const ReadOnlyLeaderCollaborators&) { return *this; }

 protected:
  Acceptor& acceptor_;
  Leadership& leadership_;
  Membership& membership_;
  Follower& follower_;
  Random& random_;
};

struct OperatorHandlerCollaborators {
  OperatorHandlerCollaborators(Membership& membership, Follower& follower)
      : membership_(membership), follower_(follower) {}
  OperatorHandlerCollaborators(const OperatorHandlerCollaborators&) = delete;
  OperatorHandlerCollaborators& operator=(const OperatorHandlerCollaborators&) { return *this; }

 protected:
  Membership& membership_;
  Follower& follower_;
};

}  // namespace peppergate
