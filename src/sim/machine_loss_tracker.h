#pragma once
// Tracks the losses of core machines that a random schedule has drawn, so that it never exceeds
// what a deployment tolerates at once.
#include <vector>

namespace peppergate {

/// Counts lost machines over time. Times are seconds since the start of the schedule.
class MachineLossTracker {
 public:
  /// `tolerate`: the number of machines that may be lost at once; `catchUp`: how long a machine
  /// still counts as lost after its return.
  MachineLossTracker(int tolerate, double catchUp) : tolerate_(tolerate), catchUp_(catchUp) {}

  /// Records machines as lost from a time until their return. Returns false and records nothing if
  /// too many would be lost at any moment.
  bool recordLoss(int machines, double from, double returnTime);
  /// Records an event that is allowed only while no machine is lost, such as a loss of all at once.
  bool recordTotalLoss(double from, double returnTime);
  int tolerate() const { return tolerate_; }
  double catchUp() const { return catchUp_; }

 private:
  struct Loss {
    int machines;
    double from, to;
  };
  int maxLost(double from, double to) const;

  int tolerate_;
  double catchUp_;
  std::vector<Loss> losses_;
};

}  // namespace peppergate
