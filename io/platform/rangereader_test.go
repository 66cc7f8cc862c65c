package platform

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// TestVersionOfOlderPage guards against a reader of several pages that follows the changes of a table from a version that a
// later page lacks: the cancel of a job in that page would never be known. The store may answer a read with older rows.
func TestVersionOfOlderPage(t *testing.T) {
	for name, versions := range map[string][]uint64{
		"the second page is older":        {9, 7},
		"the second page is newer":        {7, 9},
		"the last page of three is older": {8, 9, 7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			page := 0
			store := RowStore{ReadRange: func(context.Context, RangeQuery) (Page, error) {
				p := Page{Rows: []VersionedRow{{RowKey: RowKey{Key: string(rune('a' + page))}}}, Version: versions[page], More: page < len(versions)-1}
				page++
				return p, nil
			}}
			rows, version, err := store.ReadAll(context.Background(), RangeQuery{})
			is.NoErr(err)
			is.Equal(len(rows), len(versions))
			is.Equal(version, uint64(7))
		})
	}
}
