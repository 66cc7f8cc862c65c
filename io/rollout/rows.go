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
	headKey        = "config/head"
	versionPrefix  = "config/version/"
	sourcePrefix   = "config/source/"
	expandedPrefix = "config/expanded/"
	// maxContentBytes bounds the size of a decompressed configuration.
	maxContentBytes = 16 << 20
)

// head is the value of the row config/head.
type head struct {
	Version config.Version `json:"version"`
	// Object names the object with the expanded configuration of Version.
	Object        string                      `json:"object"`
	Organisations map[string]organisationHead `json:"organisations"`
}

// organisationHead refers to the newest change of one organisation.
type organisationHead struct {
	Version config.Version `json:"version"`
	Change  string         `json:"change"`
}

// withChange returns a copy of the head that includes a change.
func (h head) withChange(c Change, v config.Version, object string) head {
	next := head{Version: v, Object: object, Organisations: map[string]organisationHead{}}
	for name, o := range h.Organisations {
		next.Organisations[name] = o
	}
	next.Organisations[c.Organisation] = organisationHead{Version: v, Change: c.ID}
	return next
}

// Record is an accepted change as kept in the history.
type Record struct {
	Version      config.Version `json:"version"`
	Organisation string         `json:"organisation"`
	// From is the version of the organisation on which the change was based.
	From config.Version `json:"from"`
	// Change is the ID of the change, under which its source is stored.
	Change string `json:"change"`
	// Restores is the version whose source a rollback restored.
	Restores config.Version `json:"restores,omitempty"`
	// Member is the entry host that committed the change.
	Member string `json:"member"`
	// Time is the time of the commit by that entry host's clock. It is only informative.
	Time time.Time `json:"time"`
	// Object names the object with the expanded configuration. It is empty if a later
	// change was committed in the same batch.
	Object string `json:"object,omitempty"`
}

func versionKey(v config.Version) string { return fmt.Sprintf("%s%020d", versionPrefix, v) }

// marshalCompressed returns v as gzip-compressed JSON.
func marshalCompressed(v any) ([]byte, error) {
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

// unmarshalCompressed decodes the output of marshalCompressed into v.
func unmarshalCompressed(content []byte, v any) error {
	reader, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(reader, maxContentBytes)).Decode(v), "decode")
}

// readHead returns the head and its row version, both zero if there is no row.
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

// readRecords returns the records of those of the versions that are kept, in ascending
// order.
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
			return nil, errors.Wrapf(err, "decode row %s", row.Key)
		}
	}
	return records, nil
}

// getExpanded returns the expanded configuration of a head and its stored content.
func (m *Manager) getExpanded(ctx context.Context, h head) (config.Expanded, []byte, error) {
	if held, content := m.currentWithContent(); held.Version == h.Version {
		return held, content, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	content, err := m.Objects.Get(ctx, h.Object)
	if err != nil {
		return config.Expanded{}, nil, errors.Wrapf(err, "get the configuration of version %d", h.Version)
	}
	var e config.Expanded
	if err := unmarshalCompressed(content, &e); err != nil {
		return config.Expanded{}, nil, errors.Wrapf(err, "decode the configuration of version %d", h.Version)
	}
	return e, content, nil
}

// getSource returns the source of a change.
func (m *Manager) getSource(ctx context.Context, change string) (config.Source, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Periods.storeTimeout())
	defer cancel()
	content, err := m.Objects.Get(ctx, sourcePrefix+change)
	if err != nil {
		return config.Source{}, errors.Wrapf(err, "get the source of change %s", change)
	}
	var s config.Source
	return s, errors.Wrapf(unmarshalCompressed(content, &s), "decode the source of change %s", change)
}
