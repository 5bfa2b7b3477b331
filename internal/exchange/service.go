package exchange

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Service is the rpc service that every process serves.
type Service struct {
	holder *configuration.Holder
	table  *membership.Table
	fresh  *Freshness
	scope  tally.Scope

	mu sync.Mutex
	// staged are the sections of an incomplete head by hash.
	staged      map[string]*configuration.Section
	stagedBytes int
}

// NewService returns the service. The table of a sidecar contains only its own record.
func NewService(holder *configuration.Holder, table *membership.Table, fresh *Freshness, scope tally.Scope) *Service {
	return &Service{
		holder: holder,
		table:  table,
		fresh:  fresh,
		scope:  scope,
		staged: make(map[string]*configuration.Section),
	}
}

// Digest replies with the digest of the process.
func (s *Service) Digest(req *DigestRequest, reply *DigestReply) error {
	if s.isEntry() {
		s.table.ApplyGossip(req.Rumours)
		reply.Rumours = s.table.NextGossip(req.Rumours)
	}
	reply.Digest = localDigest(s.holder, s.table)
	if !s.isEntry() {
		reply.Unheard = toAgeUnits(s.fresh.Age())
	}
	if req.Digest.Generation <= reply.Digest.Generation {
		s.fresh.Confirm(time.Now())
	}
	if self := s.table.SelfState(); self.Hash() != req.Known {
		reply.Self = &self
	}
	if s.isEntry() {
		s.table.RecordPlatformContact(platformAge(req.Digest))
	}
	return nil
}

// Pull replies with a head that is newer than the caller's.
func (s *Service) Pull(req *PullRequest, reply *PullReply) error {
	reply.Delta = s.holder.Delta(req.Generation)
	if reply.Delta.Generation > req.Generation {
		reply.Patches, reply.Sections = changes(s.holder, reply.Delta)
	}
	return nil
}

// Sections replies with sections by hash.
func (s *Service) Sections(req *SectionsRequest, reply *SectionsReply) error {
	if len(req.Hashes) > MaxSectionHashes {
		return errors.Errorf("%d sections requested, at most %d allowed", len(req.Hashes), MaxSectionHashes)
	}
	reply.Sections = rawSections(s.holder.Sections(req.Hashes))
	return nil
}

// Push applies a head and sections of it.
func (s *Service) Push(req *PushRequest, reply *PushReply) error {
	err := s.push(req, reply)
	reply.Generation = s.holder.Generation()
	return err
}

func (s *Service) push(req *PushRequest, reply *PushReply) error {
	if req.Delta.Generation <= s.holder.Generation() {
		return nil
	}
	sections, err := parseSections(req.Sections)
	if err != nil {
		return err
	}
	head, ok := s.holder.ApplyDelta(req.Delta)
	if !ok {
		reply.NeedsComplete = true
		return nil
	}
	sections = append(sections, s.holder.ApplyPatches(req.Patches)...)
	_, err = s.holder.Apply(head, s.stage(sections))
	var missing *configuration.MissingSectionsError
	if errors.As(err, &missing) {
		reply.Missing = missing.Hashes[:min(len(missing.Hashes), MaxSectionHashes)]
		return nil
	}
	if err != nil {
		return err
	}
	s.unstage()
	s.fresh.Confirm(time.Now())
	return nil
}

// stage adds the sections to the staged ones and returns all staged sections.
func (s *Service) stage(sections []*configuration.Section) []*configuration.Section {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, section := range sections {
		if _, ok := s.staged[section.Hash()]; ok {
			continue
		}
		if s.stagedBytes+len(section.Raw()) > maxStagedBytes {
			s.staged, s.stagedBytes = make(map[string]*configuration.Section), 0
		}
		s.staged[section.Hash()] = section
		s.stagedBytes += len(section.Raw())
	}
	all := make([]*configuration.Section, 0, len(s.staged))
	for _, section := range s.staged {
		all = append(all, section)
	}
	return all
}

func (s *Service) unstage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged, s.stagedBytes = make(map[string]*configuration.Section), 0
}

// Members compares the tables of instances by bucket.
func (s *Service) Members(req *MembersRequest, reply *MembersReply) error {
	limit := 0
	if req.Limit > 0 {
		affordable := s.table.AvailableBytes()
		if affordable < minRepairBytes {
			return nil
		}
		limit = min(req.Limit, affordable/2)
	}
	var err error
	reply.Differing, reply.Summaries, err = s.table.CompareWithin(req.Buckets, limit)
	if limit > 0 {
		s.table.ConsumeBytes(repairOverheadBytes + len(reply.Summaries))
	}
	return err
}

// Sync merges records of instances and replies with others. A sidecar merges only its
// own record.
func (s *Service) Sync(req *SyncRequest, reply *SyncReply) error {
	if len(req.Records) > membership.MaxRecords || len(req.Want) > membership.MaxRecords {
		return errors.Errorf("got %d records and %d keys, at most %d of each allowed", len(req.Records), len(req.Want), membership.MaxRecords)
	}
	records := req.Records
	if !s.isEntry() {
		records = recordsOf(records, s.table.Self().Name)
	}
	reply.Records = append(s.table.Merge(records), s.table.Records(req.Want)...)
	if !req.Filling {
		s.table.ConsumeBytes(membership.SizeOf(req.Records) + membership.SizeOf(reply.Records))
	}
	return nil
}

func (s *Service) isEntry() bool { return s.table.Self().Role == fleet.RoleEntry }

func recordsOf(records []membership.Record, name string) []membership.Record {
	for i, r := range records {
		if r.Name == name {
			return records[i : i+1]
		}
	}
	return nil
}

// localDigest returns the digest of the process.
func localDigest(holder *configuration.Holder, table *membership.Table) Digest {
	d := Digest{Generation: holder.Generation()}
	if table.Self().Role == fleet.RoleEntry {
		d.Membership = table.Digest()
		d.PlatformAge = toAgeUnits(table.PlatformAge())
	}
	return d
}

const ageUnit = 100 * time.Millisecond

func toAgeUnits(d time.Duration) uint32 { return uint32(min(d/ageUnit, math.MaxUint32)) }

func platformAge(d Digest) time.Duration { return time.Duration(d.PlatformAge) * ageUnit }

// changes returns as many changed sections of the delta as fit into one message: patches
// with at most MaxTransferBytes/2 of changed bytes, and at most MaxTransferBytes of
// complete sections. A section is sent as a patch if the delta's base is the generation
// that the holder had before its current one and contained a previous version of the
// section.
func changes(holder *configuration.Holder, d configuration.HeadDelta) ([]configuration.Patch, [][]byte) {
	patches, whole := holder.Changes(d)
	size := 0
	for i, p := range patches {
		size += len(p.Middle)
		if size > MaxTransferBytes/2 {
			patches = patches[:i]
			break
		}
	}
	return patches, rawSections(whole)
}

// rawSections returns the stored forms of as many sections as fit into MaxTransferBytes.
func rawSections(sections []*configuration.Section) [][]byte {
	var raw [][]byte
	size := 0
	for _, section := range sections {
		size += len(section.Raw())
		if size > MaxTransferBytes {
			break
		}
		raw = append(raw, section.Raw())
	}
	return raw
}

func parseSections(raw [][]byte) ([]*configuration.Section, error) {
	sections := make([]*configuration.Section, 0, len(raw))
	for _, b := range raw {
		section, err := configuration.ParseSection(b)
		if err != nil {
			return nil, err
		}
		sections = append(sections, section)
	}
	return sections, nil
}
