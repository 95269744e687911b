// Which requests are refused at once while a zone is left and the others cannot bear all of its load: the
// least worth first, by class. No I/O, no clock; one owner, one thread. Times in milliseconds on a monotonic
// clock.
#ifndef ANISEWICK_FLEET_ZONES_TOLL_HPP_
#define ANISEWICK_FLEET_ZONES_TOLL_HPP_

#include <cstdint>
#include <map>

namespace anisewick::zones {

class Toll {
 public:
  // Of a request of that class, worth so much for each second of sending; `borne`: the share of the whole
  // load that is borne, 1: all. `draw`: in [0, 1), by the request. False: it is refused.
  bool passes(int cls, double worth, double work, double borne, double draw, std::int64_t now_ms);
  // What the refused are to stay away for.
  std::int64_t come_back_ms() const { return come_back_ms_; }

  static constexpr std::size_t kMostClasses = 64;

 private:
  struct Class {
    double rate = 0.0;   // seconds of work a second, smoothed
    double worth = 0.0;  // smoothed
    std::int64_t at_ms = 0;
  };
  std::map<int, Class> classes_;
  std::int64_t come_back_ms_ = 500;
};

}  // namespace anisewick::zones

#endif  // ANISEWICK_FLEET_ZONES_TOLL_HPP_
