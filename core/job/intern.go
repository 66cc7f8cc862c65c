package job

// maxInternedNames bounds the names that are kept.
const maxInternedNames = 4096

// interner keeps one copy of the names that many jobs share.
type interner map[string]string

// intern returns the kept copy of a name, or the name if too many are kept.
func (n interner) intern(s string) string {
	if kept, ok := n[s]; ok {
		return kept
	}
	if len(n) < maxInternedNames {
		n[s] = s
	}
	return s
}

// internSpec replaces the names of a specification by the kept copies.
func (n interner) internSpec(s *Spec) {
	for _, field := range []*string{&s.Organisation, &s.Queue, &s.Team, &s.Template} {
		*field = n.intern(*field)
	}
}
