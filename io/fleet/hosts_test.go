package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAdoptionCovers(t *testing.T) {
	pass := adoptionPass{listRevision: 3, config: 7, startedAt: time.Unix(1, 0)}
	tests := []struct {
		name    string
		pass    adoptionPass
		reading int
		want    bool
	}{
		{"the same list and configuration", pass, 3, true},
		{"another list", pass, 4, false},
		{"a newer configuration may name the pools of listed hosts", adoptionPass{listRevision: 3, config: 6, startedAt: pass.startedAt}, 3, false},
		{"no pass yet", adoptionPass{listRevision: 3, config: 7}, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.pass.covers(tt.reading, pass.config), tt.want)
		})
	}
}
