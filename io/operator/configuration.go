package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"siskincross/core/config"
	"siskincross/io/rollout"
)

// applyTimeout limits how long a change waits for a store that does not respond.
const applyTimeout = 30 * time.Second

// Change is a new template and new parameters of an organisation, based on version From.
type Change struct {
	// ID identifies the change when it is retried after a lost response; the server generates one if it is empty.
	ID           string         `json:"id,omitempty"`
	Organisation string         `json:"organisation"`
	Template     string         `json:"template"`
	Parameters   string         `json:"parameters"`
	From         config.Version `json:"from"`
}

// Rollback is a request to commit the template and parameters of version To as a new version, based on version From.
type Rollback struct {
	Organisation string         `json:"organisation"`
	To           config.Version `json:"to"`
	From         config.Version `json:"from"`
}

// Plan describes the effects of a change that is not committed yet.
type Plan struct {
	// From is the organisation's version that the change is compared with.
	From        config.Version `json:"from"`
	Differences []string       `json:"differences"`
	// Moves is the number of hosts that would change pools.
	Moves int `json:"moves"`
	// Effects are sentences about consequences that an operator should know before applying the change.
	Effects []string `json:"effects"`
}

// AcceptedChange is the result of a committed change.
type AcceptedChange struct {
	Version config.Version `json:"version"`
	// Change is the change's ID.
	Change string `json:"change"`
}

// Progress is the roll-out progress of a version.
type Progress struct {
	Version config.Version `json:"version"`
	// InForce is set once every live entry host has acknowledged the version.
	InForce bool `json:"in-force"`
	// Acknowledged and Waiting are the live entry hosts that have and have not acknowledged the version.
	Acknowledged []string `json:"acknowledged"`
	Waiting      []string `json:"waiting"`
	// RollOutMillis is the time from the receipt of the change to the last acknowledgement, in milliseconds.
	// It is zero except at the entry host that accepted the change.
	RollOutMillis int64 `json:"roll-out-millis"`
}

// HistoryEntry is one accepted change in the history of the configuration.
type HistoryEntry struct {
	Version      config.Version `json:"version"`
	Organisation string         `json:"organisation"`
	// From is the version that the change is based on.
	From config.Version `json:"from"`
	// Restores is the version that a rollback restored; zero for other changes.
	Restores config.Version `json:"restores,omitempty"`
	// Member is the entry host that committed the change.
	Member string `json:"member"`
	// AcceptedMillis is the time of the commit as a Unix time in milliseconds.
	AcceptedMillis int64 `json:"accepted-millis"`
}

// Source is the template and the parameters of a version.
type Source struct {
	Version      config.Version `json:"version"`
	Organisation string         `json:"organisation"`
	Template     string         `json:"template"`
	Parameters   string         `json:"parameters"`
}

func (s *Server) servePlan(c iris.Context) {
	var change Change
	if err := decodeBody(c, &change); err != nil {
		writeError(c, err)
		return
	}
	plan, err := s.Rollout.Plan(c.Request().Context(), change.rolloutChange())
	writeResponse(c, newPlan(plan), err)
}

func (s *Server) serveApply(c iris.Context) {
	var change Change
	if err := decodeBody(c, &change); err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	accepted, err := s.Rollout.Apply(ctx, change.rolloutChange())
	writeResponse(c, AcceptedChange{Version: accepted.Version, Change: accepted.Change}, err)
}

func (s *Server) serveRollback(c iris.Context) {
	var r Rollback
	if err := decodeBody(c, &r); err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	accepted, err := s.Rollout.Rollback(ctx, r.Organisation, r.To, r.From)
	writeResponse(c, AcceptedChange{Version: accepted.Version, Change: accepted.Change}, err)
}

func (s *Server) serveHistory(c iris.Context) {
	entries, err := s.Rollout.History(c.Request().Context(), c.URLParam("organisation"), c.URLParamIntDefault("limit", 0))
	history := make([]HistoryEntry, len(entries))
	for i, e := range entries {
		history[i] = newHistoryEntry(e)
	}
	writeResponse(c, history, err)
}

func (s *Server) serveVersion(c iris.Context) {
	version, err := versionParameter(c)
	if err != nil {
		writeError(c, err)
		return
	}
	stored, err := s.Rollout.Show(c.Request().Context(), version)
	writeResponse(c, newSource(stored), err)
}

func (s *Server) serveProgress(c iris.Context) {
	version, err := versionParameter(c)
	if err != nil {
		writeError(c, err)
		return
	}
	writeResponse(c, newProgress(s.Rollout.RolloutProgress(version)), nil)
}

// versionParameter parses the version in the request's path.
func versionParameter(c iris.Context) (config.Version, error) {
	text := c.Params().Get("version")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errBadRequest{reason: "the version must be a positive integer, not " + strconv.Quote(text)}
	}
	return config.Version(version), nil
}

func (c Change) rolloutChange() rollout.Change {
	return rollout.Change{
		ID:           c.ID,
		Organisation: c.Organisation,
		Template:     c.Template,
		Parameters:   c.Parameters,
		From:         c.From,
	}
}

func newProgress(p rollout.Progress) Progress {
	return Progress{
		Version:       p.Version,
		InForce:       p.InForce,
		Acknowledged:  p.Acknowledged,
		Waiting:       p.Waiting,
		RollOutMillis: int64(p.RolloutTime / time.Millisecond),
	}
}

func newHistoryEntry(r rollout.Record) HistoryEntry {
	return HistoryEntry{
		Version:        r.Version,
		Organisation:   r.Organisation,
		From:           r.From,
		Restores:       r.Restores,
		Member:         r.Member,
		AcceptedMillis: r.Time.UnixMilli(),
	}
}

func newSource(s rollout.ChangeDetails) Source {
	return Source{
		Version:      s.Record.Version,
		Organisation: s.Record.Organisation,
		Template:     s.Source.Template,
		Parameters:   s.Source.Parameters,
	}
}

func newPlan(p config.Plan) Plan {
	plan := Plan{From: p.From, Differences: differenceTexts(p.Differences), Moves: p.Moves, Effects: []string{}}
	for _, e := range p.Effects {
		text := e.Text
		if e.Subject != "" {
			text = e.Subject + ": " + text
		}
		plan.Effects = append(plan.Effects, e.Kind.String()+": "+text)
	}
	return plan
}
