package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"siskincross/core/config"
	"siskincross/io/rollout"
)

// applyTimeout is how long a change waits for a store that does not answer.
const applyTimeout = 30 * time.Second

// Change is an organisation's template and parameters, made from a version.
type Change struct {
	// ID makes a change recognisable that is sent again after a lost answer; empty means a new one.
	ID           string         `json:"id,omitempty"`
	Organisation string         `json:"organisation"`
	Template     string         `json:"template"`
	Parameters   string         `json:"parameters"`
	From         config.Version `json:"from"`
}

// Rollback asks for the template and parameters of an earlier version as a new one.
type Rollback struct {
	Organisation string         `json:"organisation"`
	To           config.Version `json:"to"`
	From         config.Version `json:"from"`
}

// Plan tells what a change would do.
type Plan struct {
	// From is the organisation's version that the plan was made from.
	From        config.Version `json:"from"`
	Differences []string       `json:"differences"`
	// Moves is the number of hosts that would change pools.
	Moves int `json:"moves"`
	// Effects are sentences that an operator should know before the change is applied.
	Effects []string `json:"effects"`
}

// AcceptedChange names the version of a committed change.
type AcceptedChange struct {
	Version config.Version `json:"version"`
	// Change is the ID of the change.
	Change string `json:"change"`
}

// Progress tells how far a version's roll-out is.
type Progress struct {
	Version      config.Version `json:"version"`
	InForce      bool           `json:"in-force"`
	Acknowledged []string       `json:"acknowledged"`
	Waiting      []string       `json:"waiting"`
	// RollOutMillis is the time from the commit to the last acknowledgement, in milliseconds.
	RollOutMillis int64 `json:"roll-out-millis"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version      config.Version `json:"version"`
	Organisation string         `json:"organisation"`
	From         config.Version `json:"from"`
	// Restores is the version that a rollback took its text from; zero for other changes.
	Restores config.Version `json:"restores,omitempty"`
	// Member is the entry host that committed the change.
	Member         string `json:"member"`
	AcceptedMillis int64  `json:"accepted-millis"`
}

// Source is the text that a version was made of.
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
	shown, err := s.Rollout.Show(c.Request().Context(), version)
	writeResponse(c, newSource(shown), err)
}

func (s *Server) serveProgress(c iris.Context) {
	version, err := versionParameter(c)
	if err != nil {
		writeError(c, err)
		return
	}
	writeResponse(c, newProgress(s.Rollout.InForce(version)), nil)
}

func versionParameter(c iris.Context) (config.Version, error) {
	text := c.Params().Get("version")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, errBadRequest{reason: "the version must be a whole number from 1, not " + strconv.Quote(text)}
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
		RollOutMillis: int64(p.Rollout / time.Millisecond),
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

func newSource(s rollout.Shown) Source {
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
