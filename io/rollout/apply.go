package rollout

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"siskincross/core/config"
)

// Change replaces the configuration of one organisation.
type Change struct {
	// ID identifies the change when it is applied again after its response was lost. If it
	// is empty, a new ID is generated.
	ID           string `json:"id,omitempty"`
	Organisation string `json:"organisation"`
	// Template and Parameters are TOML documents.
	Template   string `json:"template"`
	Parameters string `json:"parameters"`
	// From is the version of the organisation on which the change is based; zero for a new
	// organisation.
	From config.Version `json:"from"`
	// Restores is the version whose source a rollback restores; zero for other changes.
	Restores config.Version `json:"restores,omitempty"`
}

func (c Change) source() config.Source {
	return config.Source{Organisation: c.Organisation, Template: c.Template, Parameters: c.Parameters}
}

// Acceptance is the version of a change that is known to be committed.
type Acceptance struct {
	Version config.Version `json:"version"`
	Change  string         `json:"change"`
}

var errStopping = errors.New("the entry host is stopping")

// request is a change that is being committed.
type request struct {
	change Change
	// expanded is the organisation's configuration that results from the change.
	expanded   config.Expanded
	receivedAt time.Time
	// outcomeUnknown is set if a commit of the change has an unknown outcome. It is guarded
	// by the manager's mu, as are claimed and abandoned.
	outcomeUnknown bool
	// claimed is set while the change is part of an attempt that may commit it.
	claimed bool
	// abandoned is set once the caller was told that the change is not accepted or has an
	// unknown outcome. No attempt may claim it afterwards.
	abandoned bool
	// forwarded is set if the change was received by another entry host. That entry host
	// measures its roll-out time.
	forwarded bool
	result    chan result
}

type result struct {
	accepted Acceptance
	err      error
}

// Apply validates a change and commits it. It returns nil only if the commit is known to
// have succeeded. Otherwise it returns an error: config.ErrInvalid, ErrConflict,
// ErrNotAccepted, or ErrOutcomeUnknown if ctx ended before the outcome was known.
func (m *Manager) Apply(ctx context.Context, change Change) (Acceptance, error) {
	m.init()
	received := time.Now()
	expanded, err := change.source().Expand()
	if err != nil {
		return Acceptance{}, err
	}
	if change.ID == "" {
		change.ID = ulid.Make().String()
	}
	if err := m.putSource(ctx, change); err != nil {
		return Acceptance{}, err
	}
	r := newRequest(change, expanded)
	r.receivedAt = received
	version, mayCommit := m.forward(ctx, change)
	if version != 0 {
		m.trackRollout(version, &trackedRollout{organisation: change.Organisation, receivedAt: received})
		m.recordCompletedRollouts()
		return Acceptance{Version: version, Change: change.ID}, nil
	}
	r.outcomeUnknown = mayCommit
	return m.submit(ctx, r)
}

func newRequest(change Change, expanded config.Expanded) *request {
	return &request{change: change, expanded: expanded, receivedAt: time.Now(), result: make(chan result, 1)}
}

// submit passes a change to the committing goroutine and waits for its result.
func (m *Manager) submit(ctx context.Context, r *request) (Acceptance, error) {
	m.enqueue(r)
	select {
	case got := <-r.result:
		return got.accepted, got.err
	case <-ctx.Done():
		return m.abandon(r, context.Cause(ctx))
	case <-m.stopped:
		return m.abandon(r, errStopping)
	}
}

// putSource stores the source under the ID of the change, before any row refers to it.
func (m *Manager) putSource(ctx context.Context, change Change) error {
	content, err := marshalCompressed(change.source())
	if err != nil {
		return err
	}
	err = m.retry(ctx, func(ctx context.Context) error {
		return m.Objects.Put(ctx, sourcePrefix+change.ID, content)
	})
	if err != nil {
		return ErrNotAccepted{Change: change.ID, Reason: errors.Wrap(err, "store the source").Error()}
	}
	return nil
}

func (m *Manager) enqueue(r *request) {
	m.mu.Lock()
	m.pending = append(m.pending, r)
	m.mu.Unlock()
	m.wakeCommitter()
}

func (m *Manager) wakeCommitter() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// abandon withdraws a change whose caller stopped waiting. If an attempt may be committing
// it, the outcome is unknown.
func (m *Manager) abandon(r *request, cause error) (Acceptance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case got := <-r.result:
		return got.accepted, got.err
	default:
	}
	if r.claimed {
		return Acceptance{}, ErrOutcomeUnknown{Change: r.change.ID}
	}
	r.abandoned = true
	return Acceptance{}, r.abandonError(cause)
}

// claim marks the changes that were not abandoned as part of an attempt and returns them.
func (m *Manager) claim(batch []*request) []*request {
	m.mu.Lock()
	defer m.mu.Unlock()
	var claimed []*request
	for _, r := range batch {
		if !r.abandoned {
			r.claimed = true
			claimed = append(claimed, r)
		}
	}
	return claimed
}

// releaseClaims ends an attempt that failed. If uncertain is true, the attempt may have
// taken effect.
func (m *Manager) releaseClaims(batch []*request, uncertain bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range batch {
		r.claimed = false
		r.outcomeUnknown = r.outcomeUnknown || uncertain
	}
}

// abandonError returns the error of a change for which no further attempt is made.
func (r *request) abandonError(cause error) error {
	if r.outcomeUnknown {
		return ErrOutcomeUnknown{Change: r.change.ID}
	}
	return ErrNotAccepted{Change: r.change.ID, Reason: cause.Error()}
}

// takePending removes and returns the first pending change of each organisation. Later
// changes of an organisation stay pending, because they conflict with the first one only if
// that is accepted.
func (m *Manager) takePending() []*request {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := make(map[string]bool)
	var batch, rest []*request
	for _, r := range m.pending {
		if r.abandoned {
			continue
		}
		if taken[r.change.Organisation] {
			rest = append(rest, r)
			continue
		}
		taken[r.change.Organisation] = true
		batch = append(batch, r)
	}
	m.pending = rest
	return batch
}
