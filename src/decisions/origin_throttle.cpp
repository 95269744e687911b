#include "decisions/origin_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace anisewick {
namespace {

constexpr Time kSecond = 1'000'000'000;

constexpr double kMemory = 10.0;          // seconds over which what it gives is remembered
constexpr double kLeastWeight = 0.1;      // of an answer in the late share
constexpr double kLateMemory = 0.5;       // seconds
constexpr double kFirstGain = 1.0;        // of the usual, once it is weak
constexpr double kPurgeGain = 2.0;        // of the usual, after a group's purge
constexpr double kLeastGain = 0.1;        // of the usual
constexpr double kMostGain = 32.0;        // of the usual; above it is asked freely again
constexpr double kGainCut = 0.5;          // when what was asked after the last cut is late too
constexpr double kGainEach = 1.4;         // with each answer in time, or with as many as it gives in a second
constexpr double kGainDoubles = 4.0;      // seconds
constexpr double kMostTokens = 2.0;       // saved up
constexpr double kMostTokensFor = 0.3;    // saved up, in seconds of what it is asked for
constexpr double kLeastUsual = 0.2;       // answers a second, of a front that has seen none
constexpr Time kFreeAfter = 2 * kSecond;  // without one held back it is asked freely again
constexpr Time kForgotten = 10 * kSecond;  // so long without an answer, late ones are forgotten

double seconds(Time span) { return static_cast<double>(span) / kSecond; }

}  // namespace

void OriginThrottle::advance(Time now) {
  const double passed = seconds(now - at);
  at = now;
  if (gain <= 0.0) {
    usual *= std::exp(-passed / kMemory);
    return;
  }
  gain *= std::exp2(passed / kGainDoubles);
  const double rate = gain * std::max(usual, kLeastUsual);
  tokens = std::min(std::max(kMostTokens, kMostTokensFor * rate), tokens + passed * rate);
  const bool enough = now - denied_at > kFreeAfter && (late_share < kWeakShare || now - seen_at > kForgotten);
  if (enough || gain > kMostGain) gain = 0.0;
}

void OriginThrottle::pace(Time now, double to, double first) {
  advance(now);
  if (gain <= 0.0) tokens = first * std::max(1.0, 2.0 * kMostTokensFor * to * usual);
  gain = gain <= 0.0 ? to : std::min(gain, to);
  denied_at = now;
}

void OriginThrottle::purged(Time now, double first) { pace(now, kPurgeGain, first); }

void OriginThrottle::ended(Time now, Time sent, bool gave, double first) {
  advance(now);
  // What was seen long ago says little beside what is seen now: seldom answers weigh more each.
  const double old = std::exp(-static_cast<double>(now - seen_at) / (kLateMemory * kSecond));
  late_share += std::max(kLeastWeight, 1.0 - old) * ((gave ? 0.0 : 1.0) - late_share);
  seen_at = now;
  if (gave && gain <= 0.0) usual += 1.0 / kMemory;
  if (gave && gain > 0.0) gain *= std::pow(kGainEach, 1.0 / std::max(1.0, usual));
  if (gave || late_share < kWeakShare || sent < cut_at) return;
  pace(now, gain <= 0.0 ? kFirstGain : std::max(kLeastGain, kGainCut * gain), first);
  cut_at = now;
}

bool OriginThrottle::paced(Time now) {
  advance(now);
  return gain > 0.0;
}

bool OriginThrottle::take(Time now) {
  advance(now);
  if (gain <= 0.0) return true;
  if (tokens < 1.0) {
    denied_at = now;
    return false;
  }
  tokens -= 1.0;
  return true;
}

}  // namespace anisewick
