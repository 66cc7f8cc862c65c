package rollout

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskincross/core/config"
	"siskincross/io/platform"
)

const (
	headKey       = "config/head"
	versionPrefix = "config/version/"
	sourcePrefix  = "config/source/"
	expandPrefix  = "config/expanded/"
	// maxContentBytes bounds a configuration after decompression.
	maxContentBytes = 16 << 20
)

// head is the value of the row config/head.
type head struct {
	Version config.Version `json:"version"`
	// Object holds the expanded configuration of Version.
	Object        string                          `json:"object"`
	Organisations map[string]organisationVersions `json:"organisations"`
}

// organisationVersions points to the newest change of one organisation.
type organisationVersions struct {
	Version config.Version `json:"version"`
	Change  string         `json:"change"`
}

// with returns the head after a change, without changing h.
func (h head) with(c Change, v config.Version, object string) head {
	next := head{Version: v, Object: object, Organisations: map[string]organisationVersions{}}
	for name, o := range h.Organisations {
		next.Organisations[name] = o
	}
	next.Organisations[c.Organisation] = organisationVersions{Version: v, Change: c.ID}
	return next
}

// Record is one accepted change, as it is kept in the history.
type Record struct {
	Version      config.Version `json:"version"`
	Organisation string         `json:"organisation"`
	// From is the organisation's version that the change was made from.
	From config.Version `json:"from"`
	// Change is the ID of the change; its source is kept under it.
	Change string `json:"change"`
	// Restores is the version whose source a rollback took.
	Restores config.Version `json:"restores,omitempty"`
	// Member is the entry host that committed the change.
	Member string `json:"member"`
	// Time is that entry host's clock, for people only.
	Time time.Time `json:"time"`
	// Object holds the expanded configuration; empty when a later change was committed with this one.
	Object string `json:"object,omitempty"`
}

func versionKey(v config.Version) string { return fmt.Sprintf("%s%020d", versionPrefix, v) }

// pack returns v as compressed JSON.
func pack(v any) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(content []byte, v any) error {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(reader, maxContentBytes)).Decode(v), "decode")
}

// readHead returns the head and its row version, both zero when there is no row.
func (m *Manager) readHead(ctx context.Context) (head, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	rows, err := m.Table.Read(ctx, []string{headKey})
	if err != nil {
		return head{}, 0, errors.Wrap(err, "read the head")
	}
	if len(rows) == 0 {
		return head{}, 0, nil
	}
	var h head
	if err := json.Unmarshal(rows[0].Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "decode the head")
	}
	return h, rows[0].Version, nil
}

// readRecords returns the records of the versions that are kept, in the order of versions.
func (m *Manager) readRecords(ctx context.Context, versions []config.Version) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	keys := make([]string, len(versions))
	for i, v := range versions {
		keys[i] = versionKey(v)
	}
	rows, err := m.Table.Read(ctx, keys)
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
	}
	return decodeRecords(rows)
}

func decodeRecords(rows []platform.Row) ([]Record, error) {
	records := make([]Record, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &records[i]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
	}
	return records, nil
}

// getExpanded returns the expanded configuration of a head, with its content as stored.
func (m *Manager) getExpanded(ctx context.Context, h head) (config.Expanded, []byte, error) {
	if held, content := m.held(); held.Version == h.Version {
		return held, content, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	content, err := m.Objects.Get(ctx, h.Object)
	if err != nil {
		return config.Expanded{}, nil, errors.Wrapf(err, "get version %d", h.Version)
	}
	var e config.Expanded
	if err := unpack(content, &e); err != nil {
		return config.Expanded{}, nil, errors.Wrapf(err, "read version %d", h.Version)
	}
	return e, content, nil
}

// getSource returns the texts of a change.
func (m *Manager) getSource(ctx context.Context, change string) (config.Source, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	content, err := m.Objects.Get(ctx, sourcePrefix+change)
	if err != nil {
		return config.Source{}, errors.Wrapf(err, "get the source of change %s", change)
	}
	var s config.Source
	return s, errors.Wrapf(unpack(content, &s), "read the source of change %s", change)
}
