package runner_test

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"siskincross/io/platform"
)

// fakeStore is a table service in memory with injected faults. It is used in virtual time.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[platform.RowKey]platform.VersionedRow
	history []platform.VersionedRow
	// droppedHistory is the version up to which the store no longer has the history.
	droppedHistory uint64
	changed        chan struct{}
	// silentTo names the entry hosts whose calls get no answer. "*" stands for all of them.
	silentTo map[string]bool
	// loseAnswerEvery loses the answer of every n-th commit that accepts jobs, after the commit took effect. Zero loses
	// none.
	loseAnswerEvery, acceptCommits int
	// latency is how long the store takes to answer a call.
	latency time.Duration
	// transactionTime is how long a transaction takes. The transactions of a partition run one after the other until the
	// time in busyUntil. They are refused while more than a second of them waits.
	transactionTime time.Duration
	busyUntil       map[string]time.Time
	// links holds the link of each entry host if bandwidth, in bytes per second, limits them.
	links     map[string]*fakeLink
	bandwidth int
	// losePageEvery loses the answer of every n-th page that a takeover reads. Zero loses none.
	losePageEvery, takeoverPages int
	// silentPartition is the partition about which nobody gets answers to reads; empty for none.
	silentPartition string
	// silentParts holds, by entry host, the partitions about which the entry host gets no answers to any calls.
	silentParts map[string]map[string]bool
	// withheld holds, by entry host, the table for which the entry host gets no answers.
	withheld map[string]string
	// delayCommit, if set, selects the commits that get no answer and are carried out only after commitDelay, if their
	// preconditions still hold.
	delayCommit func(c platform.RowTransaction) bool
	// refuseCommit, if set, selects the commits of entry hosts that are refused because too many transactions wait.
	refuseCommit func(entryHost string, c platform.RowTransaction) bool
	// maxValueBytes is the maximum size of a value; zero means any.
	maxValueBytes int
	// refusesWrite, if set, selects the writes that the store refuses for good.
	refusesWrite func(platform.RowWrite) bool
	// countReads, if set, is called for each read of rows by an entry host.
	countReads func(platform.RangeQuery)
	// afterCommit, if set, is called with all rows after each commit.
	afterCommit func(rows map[platform.RowKey]platform.VersionedRow)
}

// allPartitions stands for the calls that concern rows of all partitions.
const allPartitions = "*"

// answerTime is how long the store and the workers take to answer.
const answerTime = 4 * time.Millisecond

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: make(map[platform.RowKey]platform.VersionedRow), changed: make(chan struct{}),
		silentTo: make(map[string]bool), latency: answerTime,
	}
}

// callTimeout is how long a call without an answer lasts.
const callTimeout = 1500 * time.Millisecond

// setSilent sets whether an entry host, or all of them for "*", get no answers.
func (s *fakeStore) setSilent(entryHost string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTo[entryHost] = silent
}

// silenceParts sets the partitions about which an entry host gets no answers. The caller holds the lock.
func (s *fakeStore) silenceParts(entryHost string, partitions ...string) {
	if s.silentParts == nil {
		s.silentParts = make(map[string]map[string]bool)
	}
	s.silentParts[entryHost] = make(map[string]bool)
	for _, partition := range partitions {
		s.silentParts[entryHost][partition] = true
	}
}

// feedPartition returns the partition that an entry host follows a table for.
func feedPartition(table string) string {
	if pool, ok := strings.CutPrefix(table, "queue-"); ok {
		return pool
	}
	return ""
}

// commitPartition returns the partition of a transaction.
func commitPartition(c platform.RowTransaction) string {
	switch {
	case len(c.Writes) > 0:
		return c.Writes[0].Partition
	case len(c.Deletes) > 0:
		return c.Deletes[0].Partition
	}
	return ""
}

// simulateCall waits for the latency of a call about a partition. It returns an error for a call that gets no answer.
func (s *fakeStore) simulateCall(ctx context.Context, entryHost, partition string) error {
	s.mu.Lock()
	wait := s.latency
	s.mu.Unlock()
	silent := s.isSilent(entryHost, partition)
	if silent {
		wait = callTimeout
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
	}
	if silent {
		return platform.ErrOutcomeUnknown{Service: "store", Reason: "no answer"}
	}
	return nil
}

// awaitTransaction waits for the transactions ahead in the partition and for the transaction itself. A transaction
// that is abandoned is not carried out but takes its time all the same.
func (s *fakeStore) awaitTransaction(ctx context.Context, entryHost string, c platform.RowTransaction) error {
	s.mu.Lock()
	if s.refuseCommit != nil && s.refuseCommit(entryHost, c) {
		s.mu.Unlock()
		return errTooManyWait
	}
	if s.transactionTime == 0 {
		s.mu.Unlock()
		return nil
	}
	part := ""
	if len(c.Writes) > 0 {
		part = c.Writes[0].Partition
	}
	wait := max(0, time.Until(s.busyUntil[part]))
	if wait > time.Second {
		s.mu.Unlock()
		return errTooManyWait
	}
	s.busyUntil[part] = time.Now().Add(wait + s.transactionTime)
	s.mu.Unlock()
	select {
	case <-time.After(wait + s.transactionTime):
		return nil
	case <-ctx.Done():
		return platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
	}
}

// withholdTable makes an entry host get no more answers about a table.
func (s *fakeStore) withholdTable(entryHost, table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withheld = map[string]string{entryHost: table}
}

// isWithheld reports whether an entry host gets no answers about a table.
func (s *fakeStore) isWithheld(entryHost, table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withheld[entryHost] == table
}

// isSilent reports whether an entry host gets no answers about a partition.
func (s *fakeStore) isSilent(entryHost, partition string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentTo[entryHost] || s.silentTo["*"] || s.silentParts[entryHost][partition]
}

// silencePartition makes the store answer no more reads of a partition.
func (s *fakeStore) silencePartition(partition string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentPartition = partition
}

// losesPage reports whether a read of an entry host gets no answer.
func (s *fakeStore) losesPage(entryHost string, q platform.RangeQuery) bool {
	s.mu.Lock()
	silent := q.Partition != "" && s.silentPartition == q.Partition
	s.mu.Unlock()
	return silent || s.dropsPage(q) || s.isWithheld(entryHost, q.Table)
}

// recordRead calls countReads for a read of rows.
func (s *fakeStore) recordRead(q platform.RangeQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.countReads != nil {
		s.countReads(q)
	}
}

// setTransactionTime sets how long each transaction of a partition takes.
func (s *fakeStore) setTransactionTime(transactionTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactionTime, s.busyUntil = transactionTime, make(map[string]time.Time)
}

// setAfterCommit sets the function that is called with all rows after each commit; nil removes it.
func (s *fakeStore) setAfterCommit(afterCommit func(rows map[platform.RowKey]platform.VersionedRow)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterCommit = afterCommit
}

// rowsFor returns the store as one entry host reaches it.
func (s *fakeStore) rowsFor(entryHost string) platform.RowStore {
	return platform.RowStore{
		Commit: func(ctx context.Context, c platform.RowTransaction) (uint64, error) {
			if err := s.simulateCall(ctx, entryHost, commitPartition(c)); err != nil {
				return 0, err
			}
			if err := s.transfer(ctx, entryHost+" up", commitSize(c), nil); err != nil {
				return 0, err
			}
			if err := s.awaitTransaction(ctx, entryHost, c); err != nil {
				return 0, err
			}
			if s.isDelayed(c) {
				time.AfterFunc(commitDelay, func() { _, _ = s.commit(c) }) // the caller doesn't wait for it
				<-ctx.Done()
				return 0, platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
			}
			version, err := s.commit(c)
			if c.Purpose == "accept" && s.dropsAnswer() {
				<-ctx.Done()
				return 0, platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
			}
			return version, err
		},
		ReadRange: func(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
			if err := s.simulateCall(ctx, entryHost, q.Partition); err != nil {
				return platform.Page{}, err
			}
			s.recordRead(q)
			if s.losesPage(entryHost, q) {
				<-ctx.Done()
				return platform.Page{}, platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
			}
			page := s.readRange(q)
			return page, s.transfer(ctx, entryHost, wireSize(page.Rows), q.OnProgress)
		},
		ListPartitions: func(ctx context.Context, table string) ([]string, error) {
			if err := s.simulateCall(ctx, entryHost, allPartitions); err != nil {
				return nil, err
			}
			return s.partitions(table), nil
		},
		AwaitChanges: func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
			if err := s.simulateCall(ctx, entryHost, feedPartition(table)); err != nil {
				return platform.Changes{}, err
			}
			changes, err := s.awaitChanges(ctx, table, after, wait)
			if s.isWithheld(entryHost, table) || s.isSilent(entryHost, feedPartition(table)) {
				select {
				case <-ctx.Done():
				case <-time.After(pollMargin): // the platform's client waits no longer
				}
				return platform.Changes{}, platform.ErrOutcomeUnknown{Service: "store", Reason: "no answer"}
			}
			if err != nil {
				return changes, err
			}
			return changes, s.transfer(ctx, entryHost, wireSize(changes.Rows), nil)
		},
		EstimateClock: func() (time.Duration, bool) { return time.Duration(time.Now().UnixNano()), true },
	}
}

// pollMargin is the time beyond its wait in which a long poll must be answered.
const pollMargin = 800 * time.Millisecond

// errTooManyWait is the error of a transaction that is refused because too many of its partition wait.
var errTooManyWait = platform.ErrUnavailable{Service: "store", Reason: "too many transactions wait", Overloaded: true}

// commitDelay is the time after which a delayed commit is carried out.
const commitDelay = 5 * time.Second

// isDelayed reports whether a commit is to be delayed.
func (s *fakeStore) isDelayed(c platform.RowTransaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delayCommit != nil && s.delayCommit(c)
}

// dropsAnswer counts a commit that accepts jobs, and reports whether its answer is lost.
func (s *fakeStore) dropsAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptCommits++
	return s.loseAnswerEvery > 0 && s.acceptCommits%s.loseAnswerEvery == 0
}

func (s *fakeStore) commit(c platform.RowTransaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range c.Writes {
		if s.maxValueBytes > 0 && len(w.Value) > s.maxValueBytes {
			return 0, platform.ErrInvalid{Service: "store", Reason: "a row is too large"}
		}
		if s.refusesWrite != nil && s.refusesWrite(w) {
			return 0, platform.ErrInvalid{Service: "store", Reason: "the row is refused"}
		}
	}
	var current []platform.VersionedRow
	stale := false
	for _, e := range c.Preconditions {
		row := s.rows[e.RowKey]
		row.RowKey = e.RowKey
		current = append(current, row)
		stale = stale || row.Version != e.Version
	}
	if stale {
		return 0, platform.ErrVersionMismatch{Rows: current}
	}
	s.version++
	for _, w := range c.Writes {
		row := platform.VersionedRow{RowKey: w.RowKey, Value: w.Value, Version: s.version}
		s.rows[w.RowKey] = row
		s.history = append(s.history, row)
	}
	for _, key := range c.Deletes {
		delete(s.rows, key)
		s.history = append(s.history, platform.VersionedRow{RowKey: key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.afterCommit != nil {
		s.afterCommit(s.rows)
	}
	return s.version, nil
}

func (s *fakeStore) readRange(q platform.RangeQuery) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Version: s.version}
	for key, row := range s.rows {
		if key.Table == q.Table && key.Partition == q.Partition && key.Key >= q.From && (q.Until == "" || key.Key < q.Until) {
			page.Rows = append(page.Rows, row)
		}
	}
	sortRows(page.Rows)
	page.Rows, page.More = firstPage(page.Rows, q.Limit)
	return page
}

func (s *fakeStore) partitions(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for key := range s.rows {
		if key.Table == table && !slices.Contains(parts, key.Partition) {
			parts = append(parts, key.Partition)
		}
	}
	slices.Sort(parts)
	return parts
}

func (s *fakeStore) awaitChanges(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	over := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.droppedHistory {
			s.mu.Unlock()
			return platform.Changes{}, platform.ErrHistoryTruncated{Table: table}
		}
		result := platform.Changes{Version: s.version}
		for _, row := range s.history[s.historyIndex(after):] {
			if row.Table == table {
				result.Rows = append(result.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(result.Rows) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-over:
			return result, nil
		case <-ctx.Done():
			return result, platform.ErrOutcomeUnknown{Service: "store", Reason: ctx.Err().Error()}
		}
	}
}

// dropHistory makes the store forget the changes that it has carried out.
func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedHistory = s.version
}

// historyIndex returns the index of the first change after a version. The caller holds the lock.
func (s *fakeStore) historyIndex(version uint64) int {
	return sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > version })
}

// put writes a row as an operator or a worker would.
func (s *fakeStore) put(key platform.RowKey, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if _, err := s.commit(platform.RowTransaction{Writes: []platform.RowWrite{{RowKey: key, Value: encoded}}}); err != nil {
		panic(err)
	}
}
