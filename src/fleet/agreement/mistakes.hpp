// Mistakes seeded on purpose, in a build of the tests alone: the explorer and the simulation must find each.
// In every other build `mistaken` is a constant and nothing of them is there.
#ifndef ANISEWICK_FLEET_AGREEMENT_MISTAKES_HPP_
#define ANISEWICK_FLEET_AGREEMENT_MISTAKES_HPP_

namespace anisewick::agreement {

enum class Mistake {
  kNone,
  kAnswerBeforeDisk,  // a voter's answer does not wait for its state
  kHalfIsMajority,    // half of the voters, rounded down, pass for a majority
  kPromiseNotKept,    // a voter accepts below what it promised
  kOwnValue,          // a proposer writes its own value over one that may be chosen
  kLatestNotTaken,    // of the promises the first, not the latest, value is taken
  kVoteFromNothing,   // a voter whose disk is empty answers as if it had never voted
  kFastPathAlways,    // the next round leaves out the promise, disturbed or not
  kEpochIgnored,      // a voter answers proposers that know other voters
  kOneSideOnly,       // while a voter is replaced the new side's majority is not asked
  kNoCopy,            // registers are not copied to the new voters
  kLeaseFromAnswer,   // an owner counts its lease from the answer, not from before it asked
  kRivalTooEarly,     // a rival waits for half of the lease
  kDriftForgotten,    // nobody allows for clocks that run at different rates
  kRenewalUnseen,     // a renewal leaves the register as it was, so that rivals see no life in it
  kTermNotRaised,     // a new owner goes on with the old term
  kGateForgets,       // the gate is empty after a restart
  kGateOpen,          // the gate heeds lower terms
  kNoFence,           // a new owner does not fence the registers of its duty
  kCallTwice,         // a call that was settled is settled again when it is repeated
  kCallForgotten,     // a call is forgotten while it may still come again
  // Of work on machines:
  kPermitFromAnswer,  // a doorman counts its permit from the answer
  kPermitNeverEnds,   // and uses what is announced without one
  kWorkNotFenced,     // an old owner's change of the picture is taken
  kRollUnread,        // the list of doormans is read once, not after each picture
  kSilenceConfirms,   // a doorman that is silent is taken for one that sends nothing
  kOpenIgnored,       // what is open at a machine does not count
  kAskedUnheeded,     // a machine is asked out before all have heeded that it comes
  kWordBeforeDisk,    // a doorman says that it heeds a picture before that is on disk
  kPictureForgotten,  // the picture is not kept over a restart
  // Of zones:
  kOneDepotIsZone,  // one depot of several that fails passes for its zone
  kOneLeaves,       // one doorman's word is enough to leave a zone
  kAllBadLeaves,    // where no zone is well, one is left all the same
  kFillsIgnored,    // a return takes no account of what cold depots bear
  kAllAtOnce,       // a zone returns in one step
  kPartsForgotten,  // what doormen may still send by an earlier part does not count
  kReturnUnshown,   // a zone returns before its answers have shown that it is well
  kZonesOpen,       // a doorman heeds a picture of an older term
  kPartNeverEnds,   // and uses its part for ever
  kUnsureHeeds,     // a member with an empty disk heeds whoever speaks first, without reading the register
};

#ifdef ANISEWICK_MISTAKES
bool mistaken(Mistake mistake);  // the test says which one is in force
#else
constexpr bool mistaken(Mistake) { return false; }
#endif

}  // namespace anisewick::agreement

#endif  // ANISEWICK_FLEET_AGREEMENT_MISTAKES_HPP_
