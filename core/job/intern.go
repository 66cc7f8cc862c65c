package job

// maxInternedNames bounds the size of an interner.
const maxInternedNames = 4096

// interner stores one copy of each name that many jobs share, which saves memory.
type interner map[string]string

// intern returns the stored copy of s. It returns s itself if the interner is full.
func (n interner) intern(s string) string {
	if kept, ok := n[s]; ok {
		return kept
	}
	if len(n) < maxInternedNames {
		n[s] = s
	}
	return s
}

// internSpec replaces the names of a specification by their stored copies.
func (n interner) internSpec(s *Spec) {
	for _, field := range []*string{&s.Organisation, &s.Queue, &s.Team, &s.Template} {
		*field = n.intern(*field)
	}
}
