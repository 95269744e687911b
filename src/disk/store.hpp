// The second tier: parts on disk in a log of segments, with an index in memory. All calls come from the loop
// and never block; I/O runs on Workers. What is worth writing, and what goes, the Keeper says; which copies
// are void, the Ledger. A store that cannot be used is off or read-only with one line, and its box serves on
// from memory.
#ifndef ANISEWICK_DISK_STORE_HPP_
#define ANISEWICK_DISK_STORE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/keeper.hpp"
#include "copies/copy.hpp"
#include "disk/files.hpp"
#include "disk/index.hpp"
#include "disk/recovery.hpp"
#include "disk/workers.hpp"

namespace anisewick::disk {

class Store {
 public:
  enum class State { kOpening, kOn, kReadOnly, kOff };
  struct Limits {
    std::uint64_t space_bytes = std::uint64_t{1} << 30;  // of all segments
    std::uint64_t segment_bytes = 32 << 20;
    std::size_t segment_parts = 8192;     // in one segment, so that giving one up is short
    std::size_t most_parts = 1 << 20;     // in the index, about 60 bytes each
    std::size_t pending_bytes = 8 << 20;  // taken and not on disk yet; beyond it parts are passed over
    std::size_t batch_bytes = 256 << 10;  // written at once
    std::int64_t batch_ms = 50;           // a batch waits no longer
    std::size_t reads = 64;               // under way; beyond it a read is refused
    std::int64_t slow_ms = 100;           // once a read takes longer, no further ones are sent until it ends
    std::int64_t retry_ms = 5000;         // from a failure until writing (or reading) is tried again
    std::int64_t checkpoint_ms = 60'000;  // between checkpoints; 0: only at the end
    std::size_t most_objects = 65536;     // of the ledger
  };
  struct Counters {
    std::uint64_t hits = 0, misses = 0;                          // of `read`, by the index
    std::uint64_t read_errors = 0, torn = 0, refused_reads = 0;  // torn: a record that is not whole when read
    std::uint64_t admitted = 0, admitted_bytes = 0;              // parts written for the first time
    std::uint64_t again = 0, again_bytes = 0;                    // written again out of a segment that went
    std::uint64_t passed_over = 0, dropped = 0;                  // by the keeper; for want of room in memory
    std::uint64_t written_bytes = 0;                             // to all files
    std::uint64_t write_errors = 0, segments_gone = 0, checkpoints = 0;
    std::uint64_t ledger_lines = 0, ledger_errors = 0;
  };
  // One line for the log: what happened, in a fixed word, and the details.
  using Say = std::function<void(const char* what, const std::string& detail)>;
  using Opened = std::function<void(const Recovered& how)>;
  using Read = std::function<void(std::optional<copies::Copy>)>;
  using Done = std::function<void()>;

  // `files` none: there is no folder that could be used, for the reason in `why`.
  Store(std::unique_ptr<Files> files, Workers& workers, admission::Keeper& keeper, const Limits& limits,
        Say say, std::string why = {});
  ~Store();

  void open(std::int64_t now_ms, std::uint64_t fresh_store, Opened opened);
  State state() const { return state_; }

  // Where new copies stand: what is stored from now on has at least this sequence (see purges::Entry::kGap).
  std::uint64_t sequence() const { return next_segment_; }
  const purges::Ledger& ledger() const { return ledger_; }
  const purges::Witness& witness() const { return witness_; }
  // In force at once; `durable` is called when it is on disk, or when there is no disk to be on. A gap also
  // closes what is being written, so that its copies stand before it. Entries that could not be written are
  // tried again; until they are, `durable` is not called.
  void note(purges::Entry entry, std::int64_t now_ms, Done durable = {});

  struct Held {
    copies::About about;  // without its tag
    bool doubtful = false;
    std::uint32_t bytes = 0;
  };
  // What the index says. Void copies are dropped on the way.
  std::optional<Held> find(const copies::Key& key);
  // Reads the part and checks it. Nothing: not held, refused, damaged or void by now. `done` is called later,
  // or at once with nothing.
  void read(const copies::Key& key, std::int64_t now_ms, Read done);
  // A request came for this part, whatever it was served from.
  void asked(const copies::Key& key, int rank, std::int64_t now_ms);
  // A copy that the box has and the disk does not. True: it is being written.
  bool offer(const copies::Copy& copy, std::int64_t now_ms);
  // Its source said that it still holds.
  void confirm(const copies::Key& key, std::int64_t born_ms);
  void remove(const copies::Key& key);

  // Called every few milliseconds.
  void tick(std::int64_t now_ms);
  // Writes out what is pending, the tables and the checkpoint; then calls `done`, once.
  void close(std::int64_t now_ms, Done done);

  const Counters& counters() const { return counters_; }
  std::size_t parts() const { return index_ ? index_->size() : 0; }
  std::size_t index_bytes() const { return index_ ? index_->bytes() : 0; }
  std::uint64_t space() const { return space_; }
  std::size_t segments() const { return segments_.size(); }
  std::size_t reads_out() const { return reads_.size(); }

 private:
  struct Handle {  // set by the write lane before anybody else can know of it
    std::shared_ptr<File> file;
  };
  struct Segment {
    std::shared_ptr<Handle> handle;
    std::uint64_t bytes = 0;    // taken, written or about to be
    std::uint64_t written = 0;  // of which everything before is known to be written
    int writes = 0;             // under way
    bool rolled = false;        // nothing more is added
    bool broken = false;        // a write failed; it gets no table
    bool sealed = false;        // its table is written, or on its way
    std::size_t parts = 0;      // records, dead ones too
  };
  using Segments = std::map<std::uint64_t, Segment>;
  struct Waiting {
    Row row;
    bool again = false;
  };

  bool append(const copies::Copy& copy, bool again, std::int64_t now_ms);
  void flush();
  void flushed(std::uint64_t segment, std::uint64_t end, std::vector<Waiting> rows, std::size_t bytes,
               int error);
  bool begin_segment(std::int64_t now_ms);
  void roll();
  void seal(std::uint64_t id);
  bool make_room(std::int64_t now_ms);
  void give_up(std::uint64_t id, std::int64_t now_ms);
  void write_failed(const char* what, int error);
  void checkpoint(Done done);
  void checkpoint_step();
  void write_ledger();
  void compact_ledger(bool always);
  void pump_again();
  void finish_close();

  std::shared_ptr<Files> files_;  // also of the jobs under way, which may outlive the store
  Workers& workers_;
  admission::Keeper& keeper_;
  const Limits limits_;
  Say say_;
  std::string why_;
  Counters counters_;
  State state_ = State::kOpening;
  std::uint64_t store_ = 0;
  std::unique_ptr<Index> index_;
  purges::Ledger ledger_;
  purges::Witness witness_;
  Segments segments_;
  std::uint64_t next_segment_ = 1;
  std::uint64_t space_ = 0, space_limit_ = 0;
  std::uint64_t active_ = 0;  // 0: none
  std::string batch_;
  std::uint64_t batch_at_ = 0;
  std::vector<Waiting> batch_rows_;
  std::int64_t batch_since_ = 0;
  std::size_t pending_bytes_ = 0;
  std::unordered_map<copies::Key, std::uint32_t, copies::KeyHash> pending_;  // parts on their way, how often
  std::int64_t now_ = 0, retry_at_ = 0, checkpoint_at_ = 0;
  bool failed_reading_ = false, unlocked_ = false, ledger_failing_ = false;
  int read_failures_ = 0;
  std::uint64_t next_read_ = 1;
  std::map<std::uint64_t, std::int64_t> reads_;  // under way, and since when

  // Parts of segments that went, to be read once more and written again. Their files are gone by name, and
  // held open here.
  struct Again {
    std::shared_ptr<Handle> handle;
    Row row;
    std::int64_t gap_ms = 0;  // of the ledger, when it was taken
  };
  std::deque<Again> again_;
  std::size_t again_bytes_ = 0;

  // The checkpoint being written: segments still to go.
  std::vector<std::uint64_t> checkpoint_left_;
  std::shared_ptr<Handle> checkpoint_file_;
  std::uint64_t checkpoint_bytes_ = 0;
  bool checkpointing_ = false;
  Done checkpoint_done_;

  struct Line {
    purges::Entry entry;
    Done durable;
  };
  std::vector<Line> lines_;  // to be written
  bool writing_ledger_ = false;
  std::shared_ptr<Handle> ledger_file_;  // none: to be made
  std::uint64_t next_ledger_ = 1;
  std::uint64_t ledger_at_ = 0;
  std::vector<std::uint64_t> old_ledgers_;
  std::int64_t ledger_retry_at_ = 0;

  int writes_out_ = 0;  // jobs of the write lane under way
  Done closed_;
  enum class Closing { kNo, kFlushing, kCheckpoint, kLedger, kDone } closing_ = Closing::kNo;
  // What a job's end looks at first: none if the store has gone in the meantime.
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

}  // namespace anisewick::disk

#endif  // ANISEWICK_DISK_STORE_HPP_
