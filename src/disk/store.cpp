#include "disk/store.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace anisewick::disk {
namespace {

constexpr std::int64_t kForgetMs = 60'000;     // purges are kept for so long in any case
constexpr std::size_t kCompactLines = 16'384;  // of the ledger, before it is written anew
constexpr std::size_t kMostLedgers = 4;        // files, at a start
constexpr int kMostReadFailures = 3;           // in a row

}  // namespace

Store::Store(std::unique_ptr<Files> files, Workers& workers, admission::Keeper& keeper, const Limits& limits,
             Say say, std::string why)
    : files_(std::move(files)),
      workers_(workers),
      keeper_(keeper),
      limits_(limits),
      say_(std::move(say)),
      why_(std::move(why)),
      ledger_(limits.most_objects),
      space_limit_(limits.space_bytes) {}

Store::~Store() { *here_ = false; }

void Store::open(std::int64_t now_ms, std::uint64_t fresh_store, Opened opened) {
  now_ = now_ms;
  checkpoint_at_ = now_ms + limits_.checkpoint_ms;
  auto found = std::make_shared<Recovered>();
  const auto finish = [this, found, opened, here = here_] {
    if (!*here) return;
    store_ = found->store;
    next_segment_ = std::max(next_segment_, found->next_segment);
    next_ledger_ = found->next_ledger;
    old_ledgers_ = found->ledgers;
    // What was noted while this went on holds too, and for all that lies here: its sequence was not known
    // yet.
    for (purges::Entry e : ledger_.entries()) {
      e.sequence = next_segment_;
      found->ledger.add(e);
    }
    for (Line& line : lines_) line.entry.sequence = next_segment_;
    ledger_ = std::move(found->ledger);
    if (witness_.number == 0) witness_ = found->witness;
    switch (found->state) {
      case Recovered::State::kOn:
        state_ = State::kOn;
        break;
      case Recovered::State::kReadOnly:
        state_ = State::kReadOnly;
        retry_at_ = now_ + limits_.retry_ms;
        break;
      case Recovered::State::kOff:
        state_ = State::kOff;
    }
    if (!found->line.empty()) say_(state_ == State::kOff ? "disk_off" : "disk_read_only", found->line);
    if (state_ != State::kOff) {
      index_ = std::move(found->index);
      for (auto& [id, s] : found->segments) {
        Segment segment;
        segment.handle = std::make_shared<Handle>(Handle{s.file});
        segment.bytes = s.bytes;
        segment.written = s.records;
        segment.rolled = segment.sealed = true;
        space_ += s.bytes;
        segments_.emplace(id, std::move(segment));
      }
    } else {
      for (Line& line : std::exchange(lines_, {})) {
        if (line.durable) line.durable();
      }
    }
    unlocked_ = found->unlocked;
    opened(*found);
    if (state_ == State::kOn && old_ledgers_.size() > kMostLedgers) compact_ledger(true);
    write_ledger();
  };
  if (files_ == nullptr) {
    found->state = Recovered::State::kOff;
    found->line = why_;
    return finish();
  }
  workers_.submit(
      Lane::kWrite,
      [files = files_, found, fresh_store,
       limits = RecoveryLimits{limits_.most_parts, limits_.most_objects}] {
        *found = recover(*files, limits, fresh_store);
      },
      finish, true);
}

// ---- The ledger.

void Store::note(purges::Entry entry, std::int64_t now_ms, Done durable) {
  now_ = now_ms;
  if (entry.kind == purges::Entry::Kind::kGap) {
    // A number of its own: the segment being written stands before the gap, and what comes after it behind.
    flush();
    roll();
    entry.what = ++next_segment_;
    witness_ = {};
  }
  entry.sequence = next_segment_;
  if (entry.number != 0) witness_ = {entry.number, entry.digest};
  ledger_.add(entry);
  if (state_ == State::kOff) {
    if (durable) durable();
    return;
  }
  lines_.push_back({entry, std::move(durable)});
  if (lines_.size() > kCompactLines) {
    // Nothing has been written for long. The ledger itself is bounded: what waits is written as a summary.
    std::vector<Line> all;
    for (const purges::Entry& e : ledger_.entries()) all.push_back({e, {}});
    for (Line& line : lines_) {
      if (line.durable) all.push_back({{}, std::move(line.durable)});
    }
    lines_ = std::move(all);
  }
  write_ledger();
}

void Store::write_ledger() {
  if (writing_ledger_ || lines_.empty() || state_ == State::kOpening || state_ == State::kOff || unlocked_ ||
      now_ < ledger_retry_at_) {
    return;
  }
  writing_ledger_ = true;
  auto lines = std::make_shared<std::vector<Line>>(std::exchange(lines_, {}));
  std::string bytes;
  const bool fresh = ledger_file_ == nullptr;
  const std::uint64_t number = fresh ? next_ledger_++ : 0;
  if (fresh) {
    ledger_file_ = std::make_shared<Handle>();
    bytes = ledger_head(store_, number);
    ledger_at_ = 0;
  }
  for (const Line& line : *lines) bytes += ledger_line(store_, line.entry);
  auto error = std::make_shared<int>(0);
  const std::size_t size = bytes.size();
  workers_.submit(
      Lane::kLedger,
      [files = files_, handle = ledger_file_, fresh, number, at = ledger_at_, error,
       bytes = std::move(bytes)] {
        if (fresh) *error = files->open(ledger_name(number), Files::Mode::kCreate, handle->file);
        if (*error == 0) *error = write_all(*handle->file, at, bytes.data(), bytes.size());
        if (*error == 0) *error = handle->file->sync();
        if (*error == 0 && fresh) *error = files->sync();
        if (*error != 0 && fresh) files->remove(ledger_name(number));
      },
      [this, lines, error, size, here = here_] {
        if (!*here) return;
        writing_ledger_ = false;
        if (*error != 0) {
          // A half-written line may stand there: the next try goes to a new file, so that nothing after it is
          // taken for a hole.
          ++counters_.ledger_errors;
          if (!std::exchange(ledger_failing_, true)) say_("ledger_failed", what_error(*error));
          old_ledgers_.push_back(next_ledger_ - 1);
          ledger_file_.reset();
          lines->insert(lines->end(), std::make_move_iterator(lines_.begin()),
                        std::make_move_iterator(lines_.end()));
          lines_ = std::move(*lines);
          ledger_retry_at_ = now_ + limits_.retry_ms;
          return;
        }
        ledger_failing_ = false;
        ledger_at_ += size;
        counters_.written_bytes += size;
        counters_.ledger_lines += lines->size();
        for (Line& line : *lines) {
          if (line.durable) line.durable();
        }
        if (ledger_at_ / kLine > kCompactLines) compact_ledger(false);
        write_ledger();
      },
      true);
}

// A new file with what still counts, and then the old ones go.
void Store::compact_ledger(bool always) {
  if (segments_.empty()) {
    ledger_.forget(next_segment_, now_ - kForgetMs);
  } else {
    ledger_.forget(segments_.begin()->first, now_ - kForgetMs);
  }
  if (!always && ledger_.entries().size() * 2 > ledger_at_ / kLine) return;
  const std::uint64_t number = next_ledger_++;
  std::string bytes = ledger_head(store_, number);
  for (const purges::Entry& e : ledger_.entries()) bytes += ledger_line(store_, e);
  if (witness_.number != 0) {
    bytes += ledger_line(store_, {purges::Entry::Kind::kHeard, 0, 0, witness_.number, witness_.digest, 0});
  }
  auto old = std::make_shared<std::vector<std::uint64_t>>(std::exchange(old_ledgers_, {}));
  old->push_back(number - 1);
  auto handle = std::make_shared<Handle>();
  ledger_file_ = handle;
  ledger_at_ = bytes.size();
  counters_.written_bytes += bytes.size();
  writing_ledger_ = true;
  auto error = std::make_shared<int>(0);
  workers_.submit(
      Lane::kLedger,
      [files = files_, handle, number, bytes = std::move(bytes), old, error] {
        *error = files->open(ledger_name(number), Files::Mode::kCreate, handle->file);
        if (*error == 0) *error = write_all(*handle->file, 0, bytes.data(), bytes.size());
        if (*error == 0) *error = handle->file->sync();
        if (*error == 0) *error = files->sync();
        // The old ones stay until the new one is sure: read together they say the same.
        if (*error == 0) {
          for (const std::uint64_t n : *old) files->remove(ledger_name(n));
        }
      },
      [this, old, number, error, here = here_] {
        if (!*here) return;
        writing_ledger_ = false;
        if (*error != 0) {
          ++counters_.ledger_errors;
          say_("ledger_failed", what_error(*error));
          old_ledgers_ = *old;
          old_ledgers_.push_back(number);
          ledger_file_.reset();
          ledger_retry_at_ = now_ + limits_.retry_ms;
          return;
        }
        write_ledger();
      },
      true);
}

// ---- Looking up and reading.

std::optional<Store::Held> Store::find(const copies::Key& key) {
  if (index_ == nullptr) return std::nullopt;
  const Index::Slot slot = index_->find(key);
  if (slot == Index::kNone) return std::nullopt;
  const Row row = index_->row(slot);
  Held held;
  held.about.key = key;
  held.about.group = row.group;
  held.about.rank = row.rank;
  held.about.born_ms = row.born_ms;
  held.bytes = row.place.size;
  if (ledger_.voids(held.about)) {
    index_->remove(slot);
    return std::nullopt;
  }
  held.doubtful = ledger_.doubtful(held.about, row.place.segment);
  return held;
}

void Store::read(const copies::Key& key, std::int64_t now_ms, Read done) {
  now_ = std::max(now_, now_ms);
  const auto held = find(key);
  if (!held) {
    ++counters_.misses;
    return done(std::nullopt);
  }
  const bool slow = !reads_.empty() && now_ms - reads_.begin()->second > limits_.slow_ms;
  const Row row = index_->row(index_->find(key));
  const auto segment = segments_.find(row.place.segment);
  if (failed_reading_ || slow || reads_.size() >= limits_.reads || segment == segments_.end()) {
    ++counters_.refused_reads;
    return done(std::nullopt);
  }
  struct Job {
    int error = 0;
    std::optional<copies::Copy> copy;
  };
  auto job = std::make_shared<Job>();
  const std::uint64_t number = next_read_++;
  reads_.emplace(number, now_ms);
  const bool taken = workers_.submit(
      Lane::kRead,
      [job, file = segment->second.handle->file, place = row.place, store = store_] {
        job->copy = read_record(*file, store, place, job->error);
      },
      [this, job, number, key, row, done, here = here_] {
        if (!*here) return;
        reads_.erase(number);
        if (job->error != 0) {
          ++counters_.read_errors;
          if (++read_failures_ >= kMostReadFailures && !failed_reading_) {
            failed_reading_ = true;
            retry_at_ = std::max(retry_at_, now_ + limits_.retry_ms);
            say_("disk_reads_failed", what_error(job->error));
          }
          return done(std::nullopt);
        }
        read_failures_ = 0;
        const Index::Slot slot = index_->find(key);
        const bool same = slot != Index::kNone && index_->row(slot).place.segment == row.place.segment &&
                          index_->row(slot).place.offset == row.place.offset;
        if (!job->copy || job->copy->about.key != key) {
          // Torn, lost or damaged: it is not there.
          ++counters_.torn;
          if (same) index_->remove(slot);
          return done(std::nullopt);
        }
        // What became of it meanwhile counts: a source that confirmed it, a purge.
        job->copy->about.born_ms = std::max(row.born_ms, same ? index_->row(slot).born_ms : row.born_ms);
        if (same) job->copy->about.rank = index_->row(slot).rank;
        if (ledger_.voids(job->copy->about)) return done(std::nullopt);
        ++counters_.hits;
        done(std::move(job->copy));
      });
  if (!taken) {
    reads_.erase(number);
    ++counters_.refused_reads;
    done(std::nullopt);
  }
}

void Store::asked(const copies::Key& key, int rank, std::int64_t now_ms) {
  keeper_.asked(key, now_ms);
  if (index_ == nullptr) return;
  const Index::Slot slot = index_->find(key);
  if (slot == Index::kNone) return;
  index_->ask(slot);
  if (rank > 0) index_->rank(slot, rank);
}

void Store::confirm(const copies::Key& key, std::int64_t born_ms) {
  if (index_ == nullptr) return;
  const Index::Slot slot = index_->find(key);
  if (slot != Index::kNone) index_->confirm(slot, born_ms);
}

void Store::remove(const copies::Key& key) {
  if (index_ == nullptr) return;
  const Index::Slot slot = index_->find(key);
  if (slot != Index::kNone) index_->remove(slot);
}

// ---- Writing.

bool Store::offer(const copies::Copy& copy, std::int64_t now_ms) {
  now_ = std::max(now_, now_ms);
  if (state_ != State::kOn || closing_ != Closing::kNo) return false;
  if (copy.about.tag.size() > depot::kMostTag || ledger_.voids(copy.about)) return false;
  if (pending_.contains(copy.about.key)) return false;
  if (const auto held = find(copy.about.key);
      held && !held->doubtful && held->about.born_ms >= copy.about.born_ms) {
    return false;
  }
  const auto bytes = static_cast<std::uint32_t>(copy.bytes->size());
  if (pending_bytes_ + bytes > limits_.pending_bytes) {
    ++counters_.dropped;
    return false;
  }
  if (!keeper_.admit({copy.about.key, bytes, copy.about.rank}, now_ms)) {
    ++counters_.passed_over;
    return false;
  }
  return append(copy, false, now_ms);
}

bool Store::append(const copies::Copy& copy, bool again, std::int64_t now_ms) {
  Place place;
  place.size = static_cast<std::uint32_t>(copy.bytes->size());
  place.tag_bytes = static_cast<std::uint8_t>(copy.about.tag.size());
  if (active_ != 0) {
    const Segment& s = segments_.at(active_);
    if (s.bytes + place.length() > limits_.segment_bytes || s.parts >= limits_.segment_parts) {
      flush();
      roll();
    }
  }
  // Either may have found that nothing can be written.
  if (state_ == State::kOn && active_ == 0) begin_segment(now_ms);
  if (state_ != State::kOn || active_ == 0) {
    ++counters_.dropped;
    return false;
  }
  Segment& s = segments_.at(active_);
  place.segment = active_;
  place.offset = static_cast<std::uint32_t>(s.bytes / kUnit);
  if (batch_.empty()) {
    batch_at_ = s.bytes;
    batch_since_ = now_ms;
  }
  append_record(batch_, store_, place, copy);
  batch_rows_.push_back(
      {{copy.about.key, copy.about.born_ms, copy.about.group, copy.about.rank, place}, again});
  s.bytes += place.length();
  ++s.parts;
  space_ += place.length();
  pending_bytes_ += place.length();
  ++pending_[copy.about.key];
  if (batch_.size() >= limits_.batch_bytes) flush();
  return true;
}

void Store::flush() {
  if (batch_.empty()) return;
  Segment& s = segments_.at(active_);
  ++s.writes;
  ++writes_out_;
  auto error = std::make_shared<int>(0);
  auto rows = std::make_shared<std::vector<Waiting>>(std::exchange(batch_rows_, {}));
  auto bytes = std::make_shared<std::string>(std::exchange(batch_, {}));
  const std::uint64_t id = active_, at = batch_at_;
  workers_.submit(
      Lane::kWrite,
      [handle = s.handle, at, bytes, error] {
        *error =
            handle->file == nullptr ? -EBADF : write_all(*handle->file, at, bytes->data(), bytes->size());
      },
      [this, id, at, rows, bytes, error, here = here_] {
        if (!*here) return;
        --writes_out_;
        flushed(id, at + bytes->size(), std::move(*rows), bytes->size(), *error);
      },
      true);
}

void Store::flushed(std::uint64_t id, std::uint64_t end, std::vector<Waiting> rows, std::size_t bytes,
                    int error) {
  pending_bytes_ -= bytes;
  const auto it = segments_.find(id);
  for (const Waiting& w : rows) {
    const auto p = pending_.find(w.row.key);
    if (p != pending_.end() && --p->second == 0) pending_.erase(p);
    if (error != 0 || it == segments_.end()) continue;
    ++(w.again ? counters_.again : counters_.admitted);
    (w.again ? counters_.again_bytes : counters_.admitted_bytes) += w.row.place.size;
    copies::About about;
    about.key = w.row.key;
    about.group = w.row.group;
    about.born_ms = w.row.born_ms;
    if (!ledger_.voids(about)) index_->put(w.row);
  }
  if (it != segments_.end()) {
    Segment& s = it->second;
    --s.writes;
    if (error == 0) {
      counters_.written_bytes += bytes;
      // Writes of a segment end in their order, so that all before `end` is there unless one failed.
      if (!s.broken) s.written = end;
    } else {
      s.broken = true;
    }
    if (s.rolled && s.writes == 0) seal(id);
  }
  if (error != 0) write_failed("segment", error);
  if (closing_ != Closing::kNo) finish_close();
}

bool Store::begin_segment(std::int64_t now_ms) {
  if (!make_room(now_ms)) return false;
  const std::uint64_t id = next_segment_++;
  Segment s;
  s.handle = std::make_shared<Handle>();
  s.bytes = s.written = kHead;
  s.writes = 1;
  space_ += s.bytes;
  counters_.written_bytes += kHead;
  ++writes_out_;
  auto error = std::make_shared<int>(0);
  const auto handle = s.handle;
  segments_.emplace(id, std::move(s));
  active_ = id;
  workers_.submit(
      Lane::kWrite,
      [files = files_, handle, id, head = segment_head(store_, id), error] {
        std::shared_ptr<File> file;
        *error = files->open(segment_name(id), Files::Mode::kCreate, file);
        if (*error == 0) *error = write_all(*file, 0, head.data(), head.size());
        if (*error == 0) handle->file = std::move(file);
      },
      [this, id, error, here = here_] {
        if (!*here) return;
        --writes_out_;
        flushed(id, kHead, {}, 0, *error);
      },
      true);
  return true;
}

void Store::roll() {
  if (active_ == 0) return;
  const std::uint64_t id = std::exchange(active_, 0);
  Segment& s = segments_.at(id);
  s.rolled = true;
  if (s.writes == 0) seal(id);
}

// The table of a segment that takes nothing more, behind its last record.
void Store::seal(std::uint64_t id) {
  Segment& s = segments_.at(id);
  if (s.sealed || s.broken || state_ == State::kReadOnly) return;
  s.sealed = true;
  // What lives now; the dead need not be found again.
  std::string bytes = segment_tail(store_, id, s.bytes, index_->rows_of(id));
  const std::uint64_t at = s.bytes;
  s.bytes += bytes.size();
  space_ += bytes.size();
  ++writes_out_;
  auto error = std::make_shared<int>(0);
  const std::size_t size = bytes.size();
  workers_.submit(
      Lane::kWrite,
      [handle = s.handle, at, error, bytes = std::move(bytes)] {
        *error = write_all(*handle->file, at, bytes.data(), bytes.size());
        if (*error == 0) *error = handle->file->sync();
      },
      [this, size, error, here = here_] {
        if (!*here) return;
        --writes_out_;
        if (*error == 0) counters_.written_bytes += size;
        if (*error != 0) write_failed("table", *error);  // it is found again by its records
        if (closing_ != Closing::kNo) finish_close();
      },
      true);
}

// Gives up segments until there is room for one more, on disk and in the index.
bool Store::make_room(std::int64_t now_ms) {
  for (int turns = 0; turns < 4; ++turns) {
    const bool space = space_ + limits_.segment_bytes <= space_limit_;
    const bool parts =
        index_->size() + pending_.size() + std::min(limits_.segment_parts, limits_.most_parts / 4) <=
        limits_.most_parts;
    if (space && parts) return true;
    std::vector<admission::Segment> old;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, s] : segments_) {
      if (!s.rolled || s.writes > 0) continue;
      const Index::Segment* live = index_->segment(id);
      ids.push_back(id);
      old.push_back({s.bytes, live ? live->live_bytes : 0, live ? live->hot_bytes : 0});
    }
    if (ids.empty()) return false;
    give_up(ids[keeper_.victim(old)], now_ms);
  }
  return space_ + limits_.segment_bytes <= space_limit_;
}

void Store::give_up(std::uint64_t id, std::int64_t now_ms) {
  const auto it = segments_.find(id);
  const Segment segment = it->second;
  const Index::Segment* live = index_->segment(id);
  const admission::Segment told{segment.bytes, live ? live->live_bytes : 0, live ? live->hot_bytes : 0};
  std::uint64_t kept = 0;
  for (const Index::Slot slot : index_->slots_of(id)) {
    const Row row = index_->row(slot);
    const int asked = index_->asked(slot);
    index_->remove(slot);
    copies::About about;
    about.key = row.key;
    about.group = row.group;
    about.born_ms = row.born_ms;
    // What is doubtful stays with its segment: written again it would pass for a copy from after the gap.
    if (state_ != State::kOn || asked == 0 || ledger_.voids(about) || ledger_.doubtful(about, id)) continue;
    const auto bytes = static_cast<std::uint32_t>(row.place.length());
    if (again_bytes_ + bytes > limits_.pending_bytes ||
        !keeper_.again({row.key, bytes, row.rank, asked}, told, kept, now_ms)) {
      continue;
    }
    kept += bytes;
    again_bytes_ += bytes;
    again_.push_back({segment.handle, row, ledger_.gap_ms()});
  }
  space_ -= segment.bytes;
  segments_.erase(id);
  ++counters_.segments_gone;
  ++writes_out_;
  workers_.submit(
      Lane::kWrite, [files = files_, id] { files->remove(segment_name(id)); },
      [this, here = here_] {
        if (!*here) return;
        --writes_out_;
        if (closing_ != Closing::kNo) finish_close();
      },
      true);
}

void Store::pump_again() {
  while (!again_.empty() && state_ == State::kOn && closing_ == Closing::kNo) {
    const Again one = std::move(again_.front());
    again_.pop_front();
    again_bytes_ -= one.row.place.length();
    auto copy = std::make_shared<std::optional<copies::Copy>>();
    workers_.submit(
        Lane::kRead,
        [copy, file = one.handle->file, place = one.row.place, store = store_] {
          int error = 0;
          if (file) *copy = read_record(*file, store, place, error);
        },
        [this, copy, one, here = here_] {
          if (!*here || !*copy || state_ != State::kOn || closing_ != Closing::kNo) return;
          (*copy)->about.born_ms = std::max((*copy)->about.born_ms, one.row.born_ms);
          (*copy)->about.rank = one.row.rank;
          // A purge, a gap or a newer copy may have come in between.
          if (one.gap_ms != ledger_.gap_ms() || ledger_.voids((*copy)->about)) return;
          if (index_->find(one.row.key) != Index::kNone || pending_.contains(one.row.key)) return;
          append(**copy, true, now_);
        });
  }
}

void Store::write_failed(const char* what, int error) {
  ++counters_.write_errors;
  // What is in the open batch would go to the same place.
  for (const Waiting& w : std::exchange(batch_rows_, {})) {
    const auto p = pending_.find(w.row.key);
    if (p != pending_.end() && --p->second == 0) pending_.erase(p);
  }
  pending_bytes_ -= std::exchange(batch_, {}).size();
  if (active_ != 0) {
    segments_.at(active_).broken = true;
    segments_.at(active_).rolled = true;
    active_ = 0;
  }
  if (error == -ENOSPC || error == -EDQUOT) {
    // Others fill the disk: be content with less than is taken now.
    space_limit_ = std::max<std::uint64_t>(
        2 * limits_.segment_bytes,
        std::min(space_limit_, space_ > limits_.segment_bytes ? space_ - limits_.segment_bytes : space_));
  }
  if (state_ != State::kOn) return;
  state_ = State::kReadOnly;
  retry_at_ = now_ + limits_.retry_ms;
  say_("disk_read_only", std::string(what) + ": " + what_error(error));
}

// ---- The checkpoint: a block a segment, one at a time, so that no single step is long.

void Store::checkpoint(Done done) {
  if (checkpointing_ || state_ != State::kOn) {
    if (done) done();
    return;
  }
  checkpointing_ = true;
  checkpoint_done_ = std::move(done);
  checkpoint_left_.clear();
  for (const auto& [id, s] : segments_) checkpoint_left_.push_back(id);
  std::reverse(checkpoint_left_.begin(), checkpoint_left_.end());
  checkpoint_file_ = std::make_shared<Handle>();
  const std::string head = checkpoint_head(store_, checkpoint_left_.size());
  checkpoint_bytes_ = head.size();
  ++writes_out_;
  workers_.submit(
      Lane::kWrite,
      [files = files_, handle = checkpoint_file_, head] {
        files->remove("checkpoint.new");
        std::shared_ptr<File> file;
        if (files->open("checkpoint.new", Files::Mode::kCreate, file) != 0) return;
        if (write_all(*file, 0, head.data(), head.size()) == 0) handle->file = std::move(file);
      },
      [this, here = here_] {
        if (!*here) return;
        --writes_out_;
        checkpoint_step();
      },
      true);
}

void Store::checkpoint_step() {
  ++writes_out_;
  if (!checkpoint_left_.empty()) {
    const std::uint64_t id = checkpoint_left_.back();
    checkpoint_left_.pop_back();
    Block block;
    block.segment = id;
    const auto it = segments_.find(id);
    if (it != segments_.end()) {
      block.covered = it->second.sealed ? it->second.written : std::min(it->second.written, it->second.bytes);
      block.rows = index_->rows_of(id);
    }
    std::string bytes = block_bytes(store_, block);
    const std::uint64_t at = checkpoint_bytes_;
    checkpoint_bytes_ += bytes.size();
    workers_.submit(
        Lane::kWrite,
        [handle = checkpoint_file_, at, bytes = std::move(bytes)] {
          if (handle->file && write_all(*handle->file, at, bytes.data(), bytes.size()) != 0) {
            handle->file.reset();
          }
        },
        [this, here = here_] {
          if (!*here) return;
          --writes_out_;
          checkpoint_step();
        },
        true);
    return;
  }
  auto error = std::make_shared<int>(0);
  workers_.submit(
      Lane::kWrite,
      [files = files_, handle = checkpoint_file_, error] {
        *error = handle->file ? handle->file->sync() : -EIO;
        if (*error == 0) *error = files->rename("checkpoint.new", "checkpoint");
        if (*error == 0) *error = files->sync();
      },
      [this, error, here = here_] {
        if (!*here) return;
        --writes_out_;
        checkpointing_ = false;
        checkpoint_file_.reset();
        if (*error == 0) {
          ++counters_.checkpoints;
          counters_.written_bytes += checkpoint_bytes_;
        } else {
          ++counters_.write_errors;
          say_("checkpoint_failed", what_error(*error));
        }
        if (const Done done = std::exchange(checkpoint_done_, {})) done();
        if (closing_ != Closing::kNo) finish_close();
      },
      true);
}

// ---- Time.

void Store::tick(std::int64_t now_ms) {
  now_ = now_ms;
  if (!batch_.empty() && now_ms - batch_since_ >= limits_.batch_ms) flush();
  pump_again();
  if (state_ == State::kReadOnly && !unlocked_ && now_ms >= retry_at_ && closing_ == Closing::kNo) {
    state_ = State::kOn;  // the next part tells whether it can be written again
    retry_at_ = now_ms + limits_.retry_ms;
    say_("disk_retry", "writing is tried again");
  }
  if (failed_reading_ && now_ms >= retry_at_) {
    failed_reading_ = false;
    read_failures_ = kMostReadFailures - 1;  // one more failure is enough
  }
  if (limits_.checkpoint_ms > 0 && now_ms >= checkpoint_at_ && state_ == State::kOn &&
      closing_ == Closing::kNo) {
    checkpoint_at_ = now_ms + limits_.checkpoint_ms;
    space_limit_ = std::min(limits_.space_bytes, space_limit_ + limits_.segment_bytes);
    checkpoint({});
  }
  write_ledger();
}

void Store::close(std::int64_t now_ms, Done done) {
  now_ = now_ms;
  closed_ = std::move(done);
  if (state_ == State::kOn) {
    flush();
    roll();
  }
  ledger_retry_at_ = 0;
  write_ledger();
  closing_ = Closing::kFlushing;
  finish_close();
}

void Store::finish_close() {
  if (closing_ == Closing::kFlushing && writes_out_ == 0 && !checkpointing_) {
    closing_ = Closing::kCheckpoint;
    checkpoint([this] {
      closing_ = Closing::kLedger;
      // The ledger's lane is short: behind this job all that was noted is written.
      if (state_ == State::kOff || files_ == nullptr) return finish_close();
      workers_.submit(
          Lane::kLedger, [] {},
          [this, here = here_] {
            if (!*here) return;
            closing_ = Closing::kDone;
            if (const Done closed = std::exchange(closed_, {})) closed();
          },
          true);
    });
  } else if (closing_ == Closing::kLedger && (state_ == State::kOff || files_ == nullptr)) {
    closing_ = Closing::kDone;
    if (const Done closed = std::exchange(closed_, {})) closed();
  }
}

}  // namespace anisewick::disk
