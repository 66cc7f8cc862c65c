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
	// ID makes the change recognisable when it is applied again after a lost answer. Empty means a new one.
	ID           string `json:"id,omitempty"`
	Organisation string `json:"organisation"`
	// Template and Parameters are TOML texts.
	Template   string `json:"template"`
	Parameters string `json:"parameters"`
	// From is the organisation's version that the change was made from; zero for a new organisation.
	From config.Version `json:"from"`
	// Restores is the version whose source a rollback takes; zero for other changes.
	Restores config.Version `json:"restores,omitempty"`
}

func (c Change) source() config.Source {
	return config.Source{Organisation: c.Organisation, Template: c.Template, Parameters: c.Parameters}
}

// Acceptance tells the version of a change whose commit is known.
type Acceptance struct {
	Version config.Version `json:"version"`
	Change  string         `json:"change"`
}

var errEnded = errors.New("the entry host is stopping")

// request is a change on its way through the committer.
type request struct {
	ctx    context.Context
	change Change
	// part is the organisation's configuration that the change expands to.
	part     config.Expanded
	received time.Time
	// The manager's lock protects uncertain, claimed and abandoned.
	// uncertain tells that a commit of the change has an unknown outcome.
	uncertain bool
	// claimed changes are part of an attempt that may commit them.
	claimed bool
	// abandoned changes were told not accepted, so no attempt may claim them.
	abandoned bool
	// forwarded changes were received by another entry host, which times their roll-out.
	forwarded bool
	result    chan result
}

type result struct {
	accepted Acceptance
	err      error
}

// Apply validates a change and commits it. It returns only when the commit is
// known, or an error: config.ErrInvalid, ErrConflict, ErrNotAccepted, or
// ErrOutcomeUnknown when ctx ended too early to know.
func (m *Manager) Apply(ctx context.Context, change Change) (Acceptance, error) {
	m.init()
	received := time.Now()
	part, err := change.source().Expand()
	if err != nil {
		return Acceptance{}, err
	}
	if change.ID == "" {
		change.ID = ulid.Make().String()
	}
	if err := m.putSource(ctx, change); err != nil {
		return Acceptance{}, err
	}
	r := newRequest(ctx, change, part)
	r.received = received
	version, open := m.forward(ctx, change)
	if version != 0 {
		m.track(version, &tracked{organisation: change.Organisation, received: received})
		m.checkRollouts()
		return Acceptance{Version: version, Change: change.ID}, nil
	}
	r.uncertain = open
	return m.submit(ctx, r)
}

func newRequest(ctx context.Context, change Change, part config.Expanded) *request {
	return &request{ctx: ctx, change: change, part: part, received: time.Now(), result: make(chan result, 1)}
}

// submit hands a change to the committing goroutine and waits for its result.
func (m *Manager) submit(ctx context.Context, r *request) (Acceptance, error) {
	m.enqueue(r)
	select {
	case got := <-r.result:
		return got.accepted, got.err
	case <-ctx.Done():
		return m.abandon(r, context.Cause(ctx))
	case <-m.ended:
		return m.abandon(r, errEnded)
	}
}

// putSource stores the texts under the change's ID, before any row refers to them.
func (m *Manager) putSource(ctx context.Context, change Change) error {
	content, err := pack(change.source())
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
	m.signal()
}

func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// abandon takes back a change whose caller gave up, unless an attempt may be committing it.
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
	return Acceptance{}, r.givenUp(cause)
}

// claim takes the changes into an attempt and returns those that were not abandoned.
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

// release ends an attempt that failed. Uncertain tells that it may have taken effect.
func (m *Manager) release(batch []*request, uncertain bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range batch {
		r.claimed = false
		r.uncertain = r.uncertain || uncertain
	}
}

// givenUp is the error of a change that gets no further attempt.
func (r *request) givenUp(cause error) error {
	if r.uncertain {
		return ErrOutcomeUnknown{Change: r.change.ID}
	}
	return ErrNotAccepted{Change: r.change.ID, Reason: cause.Error()}
}

// takePending returns the first pending change of each organisation. Later ones
// wait, because their conflict is with the first only if that gets accepted.
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
