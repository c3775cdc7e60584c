#pragma once
// Which losses of core machines a random schedule has drawn, so that it never asks for more at once
// than a deployment's `tolerate`.
#include <vector>

namespace peppergate {

/// Counts lost machines over time. Times are seconds of the schedule.
class LossLedger {
 public:
  /// `tolerate`: machines that may be lost at once; `catchUp`: how long a machine still counts as
  /// lost once it is back.
  LossLedger(int tolerate, double catchUp) : tolerate_(tolerate), catchUp_(catchUp) {}

  /// Books `machines` as lost from a time until they are back; false, and nothing booked, if that
  /// would be too many at any moment.
  bool lose(int machines, double from, double back);
  /// Books an event that is allowed only while no machine is lost, such as a loss of all at once.
  bool loseAll(double from, double back);
  int tolerate() const { return tolerate_; }
  double catchUp() const { return catchUp_; }

 private:
  struct Loss {
    int machines;
    double from, to;
  };
  int mostLost(double from, double to) const;

  int tolerate_;
  double catchUp_;
  std::vector<Loss> losses_;
};

}  // namespace peppergate
