#include "benchlink/benchlink.hpp"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace {

const std::string kStart =
    "BEGIN_BATCH\ttime=1000000000\tround=1\n"
    "ENLIST\tfront_id=3\tnonce64=5\tcategories.count=1\tcategories.0.aim=400000000\t"
    "categories.0.deadline=6000000000\tcategories.0.repeat=free\tfamily_info.mid_kind=1\t"
    "family_info.store_kind=2\tfamily_info.zone_hub=0,0\tfamily_info.seats_by_zone=0,1\tmy_zone=1\t"
    "family_info.client_kb_per_s=1000\tfamily_info.purge_settles=6000000000\tlimits.max_attempts=4\t"
    "tick=2000000\tsome.new.setting=7\n"
    "CATALOG\tslot=0\trows=3\n"
    "ENTRY\tsku=0\tcache=edge.a\tcluster=0\tscale=1\tzone=1\tcondition=U\n"
    "ENTRY\tsku=1\tcache=parent.a\tcluster=0\tscale=1\tzone=0\tcondition=U\n"
    "ENTRY\tsku=2\tcache=origin\tcluster=0\tscale=1\tzone=0\tcondition=U\n"
    "VIEW\tfront_id=3\tseq_no=1\tslot=0\tform=SAVED\n"
    "COMMIT\n";

const std::string kRequest =
    "ACCEPT\tfront_id=3\tjob=77\tstate_bits=0\tasset=91f03b7c55d20a64\tbytes_k=100\tkind=0\t"
    "purge_group=11\tgive_up_at=7000000000\tslice=3\n";

struct Ran {
  int code;
  std::string out;
  std::string err;
};

Ran run(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  const int code = anisewick::benchlink::serve(in, out, err);
  return {code, out.str(), err.str()};
}

TEST(Benchlink, EchoesTheRoundOfAnEmptyBatch) {
  EXPECT_EQ(run("BEGIN_BATCH\ttime=5\tround=9\nCOMMIT\n").out, "READY\tround=9\n");
}

TEST(Benchlink, TurnsARequestIntoAnAttempt) {
  const Ran r = run(kStart + "BEGIN_BATCH\ttime=1002000000\tround=2\n" + kRequest + "COMMIT\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("SERVE_OR_FILL\tfront_id=3\tjob=77\tmode=0\tadmit=0\t"), std::string::npos) << r.out;
  EXPECT_NE(r.out.find("\tfeeder=parent.a\tage=0\tcache=edge.a\n"), std::string::npos) << r.out;
  EXPECT_EQ(r.err, "");
}

TEST(Benchlink, APurgeNarrowsTheAge) {
  const Ran r = run(kStart + "BEGIN_BATCH\ttime=1002000000\tround=2\n" +
                    "STRUCK_OUT\tfront_id=3\tasset=91f03b7c55d20a64\tbatch_id=11\tage=5000000\n" + kRequest +
                    "COMMIT\n");
  EXPECT_NE(r.out.find("\tage=4000000\t"), std::string::npos) << r.out;
}

TEST(Benchlink, AListNumberIsReusedWithinABatch) {
  const Ran r = run(kStart +
                    "BEGIN_BATCH\ttime=1002000000\tround=2\n"
                    "CATALOG\tslot=0\trows=1\nENTRY\tcache=parent.a\tsku=1\tcondition=D\n"
                    "VIEW\tfront_id=3\tslot=0\tform=INCREMENTAL\n"
                    "CATALOG\tslot=0\trows=1\nENTRY\tcache=parent.b\tsku=1\tcondition=U\n"
                    "VIEW\tfront_id=3\tslot=0\tform=INCREMENTAL\n" +
                    kRequest + "COMMIT\n");
  EXPECT_NE(r.out.find("\tfeeder=parent.b\t"), std::string::npos) << r.out;
}

TEST(Benchlink, AnUnknownMessageIsNamedOnceAndSkipped) {
  const Ran r = run("BEGIN_BATCH\ttime=5\tround=9\nSURPRISE\tx=1\nSURPRISE\tx=2\nCOMMIT\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "READY\tround=9\n");
  EXPECT_EQ(r.err, "benchlink: skipped unknown message 'SURPRISE'\n");
}

TEST(Benchlink, MalformedLinesEndItWithAMessage) {
  for (const std::string bad :
       {"BEGIN_BATCH\ttime=x\tround=1", "BEGIN_BATCH\tround=1", "ACCEPT\tfront_id=3\tnonsense",
        "ACCEPT\tjob=1", "ENTRY\tcache=a", "VIEW\tfront_id=3\tslot=8\tform=FULL",
        "RESPONSE\tfront_id=3\tjob=1\tstatus=odd", "ACCEPT\tfront_id=99\tjob=1\tgive_up_at=5",
        "WHISPER\tfront_id=3\tblob=abc", "\tfront_id=3"}) {
    const Ran r = run(kStart + bad + "\n");
    EXPECT_EQ(r.code, 1) << bad;
    EXPECT_NE(r.err.find("malformed line"), std::string::npos) << bad;
    EXPECT_NE(r.err.find(bad), std::string::npos) << bad;
  }
}

TEST(Benchlink, AKilledFrontForgetsItsRequests) {
  const Ran r = run(kStart + "BEGIN_BATCH\ttime=1002000000\tround=2\n" + kRequest +
                    "KILLED\tfront_id=3\nCOMMIT\n" + kStart +
                    "BEGIN_BATCH\ttime=1004000000\tround=3\n"
                    "RESPONSE\tfront_id=3\tjob=77\tseq_no=0\tcache=edge.a\tclosed=0\tstatus=error\nCOMMIT\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out.substr(r.out.rfind("READY\tround=1")), "READY\tround=1\nREADY\tround=3\n");
}

}  // namespace
