package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Head lists the sections of one generation.
type Head struct {
	Generation uint64 `json:"generation"`
	// Operation is the random id of the commit that wrote the head.
	Operation string `json:"operation"`
	// Recent lists the operations of earlier generations, latest first.
	Recent []string `json:"recent,omitempty"`
	// Sweep counts the sweeps of unused sections.
	Sweep uint64 `json:"sweep,omitempty"`
	// Sections are sorted by name.
	Sections []SectionRef `json:"sections"`
}

// SectionRef refers to a section of a head.
type SectionRef struct {
	// Name consists of the item kind, the shard and the number of shards, such as "rules.3.64".
	Name string `json:"name"`
	// Hash is the name of the section object.
	Hash string `json:"hash"`
	// ChangedAt is the generation that put the section into the head.
	ChangedAt uint64 `json:"changedAt"`
}

// headLabel is the name of a head in error messages.
const headLabel = "head"

var hashPattern = regexp.MustCompile(`^[0-9a-f]{40}$`)

// ParseHead parses and checks the JSON form of a head. The error is a *FormatError or a *SizeError.
func ParseHead(b []byte) (Head, error) {
	if len(b) > MaxHeadBytes {
		return Head{}, &SizeError{Name: headLabel, Size: len(b), Limit: MaxHeadBytes}
	}
	var h Head
	if err := strictDecode(b, &h); err != nil {
		return Head{}, &FormatError{Name: headLabel, Reason: err.Error()}
	}
	if err := h.Check(); err != nil {
		return Head{}, err
	}
	return h, nil
}

// Check returns a *FormatError or a *SizeError if the head is malformed.
func (h Head) Check() error {
	if h.Generation == 0 {
		return &FormatError{Name: headLabel, Reason: "generation is 0"}
	}
	if len(h.Sections) > MaxSections {
		return &SizeError{Name: "list of sections", Size: len(h.Sections), Limit: MaxSections}
	}
	if len(h.Recent) > maxRecentOperations {
		return &SizeError{Name: "list of recent operations", Size: len(h.Recent), Limit: maxRecentOperations}
	}
	return checkRefs(h)
}

func checkRefs(h Head) error {
	counts := make(map[string]int)
	for i, r := range h.Sections {
		n, ok := parseName(r.Name)
		switch {
		case !ok:
			return &FormatError{Name: headLabel, Reason: fmt.Sprintf("invalid section name %q", r.Name)}
		case !hashPattern.MatchString(r.Hash):
			return &FormatError{Name: headLabel, Reason: fmt.Sprintf("invalid hash of section %s", r.Name)}
		case r.ChangedAt == 0 || r.ChangedAt > h.Generation:
			return &FormatError{Name: headLabel, Reason: fmt.Sprintf("invalid changedAt of section %s", r.Name)}
		case i > 0 && h.Sections[i-1].Name >= r.Name:
			return &FormatError{Name: headLabel, Reason: "sections are not sorted by name"}
		case counts[n.itemKind] != 0 && counts[n.itemKind] != n.count:
			return &FormatError{Name: headLabel, Reason: fmt.Sprintf("%s have different numbers of shards", n.itemKind)}
		}
		counts[n.itemKind] = n.count
	}
	return nil
}

// Hash returns a 64-bit digest of the generation and of the names and hashes of the
// sections. All other fields are left out, so a sweep does not change it.
func (h Head) Hash() uint64 {
	d := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], h.Generation)
	_, _ = d.Write(number[:])
	for _, r := range h.Sections {
		_, _ = io.WriteString(d, r.Name)
		_, _ = io.WriteString(d, r.Hash)
	}
	return binary.BigEndian.Uint64(d.Sum(nil))
}

// operationOf returns the operation that wrote the generation, if the head still lists it.
func (h Head) operationOf(generation uint64) (string, bool) {
	if generation == h.Generation {
		return h.Operation, true
	}
	if generation > h.Generation || h.Generation-generation > uint64(len(h.Recent)) {
		return "", false
	}
	return h.Recent[h.Generation-generation-1], true
}

func (h Head) ref(name string) (SectionRef, bool) {
	i, ok := slices.BinarySearchFunc(h.Sections, name, func(r SectionRef, name string) int {
		return strings.Compare(r.Name, name)
	})
	if !ok {
		return SectionRef{}, false
	}
	return h.Sections[i], true
}

// sectionName is the parsed form of SectionRef.Name.
type sectionName struct {
	itemKind string
	shard    int
	count    int
}

func (n sectionName) String() string {
	return n.itemKind + "." + strconv.Itoa(n.shard) + "." + strconv.Itoa(n.count)
}

func parseName(s string) (sectionName, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 || !slices.Contains(itemKinds, parts[0]) {
		return sectionName{}, false
	}
	shard, err1 := strconv.Atoi(parts[1])
	count, err2 := strconv.Atoi(parts[2])
	n := sectionName{itemKind: parts[0], shard: shard, count: count}
	valid := err1 == nil && err2 == nil && shard >= 0 && shard < count && count <= MaxShards
	return n, valid && n.String() == s
}

// hashOf returns the name of the section object with the content b.
func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])[:HashLength]
}

// strictDecode decodes one JSON value and rejects unknown fields and trailing content.
func strictDecode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("unexpected content after the JSON value")
	}
	return nil
}
