package booking

import (
	"container/list"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Ticket is the content of a ticket. Its text form is TicketPrefix, the base64url form of
// its JSON, a period, and the base64url form of an HMAC-SHA-256 of everything before the
// period.
type Ticket struct {
	// Address is the IP address and port of the sidecar's peer listener.
	Address     string `json:"a"`
	Incarnation string `json:"i"`
	Stage       string `json:"s"`
	// Sequence numbers the tickets of the incarnation from 1.
	Sequence uint64 `json:"n"`
	// IssuedAt is in milliseconds since 1970 by the sidecar's clock.
	IssuedAt int64 `json:"t"`
}

// IsTicket reports whether an idempotency key has the prefix of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// ParseTicket verifies that a ticket was issued under the shared secret and returns its
// content, or else an error for which IsInvalidTicket is true.
func ParseTicket(secret, ticket string) (Ticket, error) {
	if !IsTicket(ticket) || len(ticket) > MaxTicketLength {
		return Ticket{}, errInvalidTicket
	}
	i := strings.LastIndexByte(ticket, '.')
	if i < len(TicketPrefix) {
		return Ticket{}, errInvalidTicket
	}
	mac, err := base64.RawURLEncoding.Strict().DecodeString(ticket[i+1:])
	if err != nil || !hmac.Equal(mac, ticketMAC(secret, ticket[:i])) {
		return Ticket{}, errInvalidTicket
	}
	b, err := base64.RawURLEncoding.DecodeString(ticket[len(TicketPrefix):i])
	if err != nil {
		return Ticket{}, errors.Wrap(errInvalidTicket, err.Error())
	}
	var t Ticket
	if err := json.Unmarshal(b, &t); err != nil {
		return Ticket{}, errors.Wrap(errInvalidTicket, err.Error())
	}
	return t, nil
}

func (t Ticket) encode(secret string) (string, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encoding a ticket")
	}
	signed := TicketPrefix + base64.RawURLEncoding.EncodeToString(b)
	return signed + "." + base64.RawURLEncoding.EncodeToString(ticketMAC(secret, signed)), nil
}

func ticketMAC(secret, signed string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	// The label separates this MAC from other uses of the secret.
	_, _ = mac.Write([]byte("bergamotrudder ticket\x00" + signed))
	return mac.Sum(nil)
}

// TicketsConfig sets the contents of a sidecar's tickets and their memory limit.
type TicketsConfig struct {
	Secret      string
	Address     string
	Incarnation string
	Stage       string
	// MaxBytes bounds the memory of used tickets; 0 means MaxTicketBytes.
	MaxBytes int
}

// Tickets issues the tickets of one sidecar incarnation and allows each to run at most
// once. It is safe for concurrent use.
type Tickets struct {
	cfg   TicketsConfig
	clock clock

	mu       sync.Mutex
	sequence uint64
	used     map[uint64]*usedTicket
	// byFirstUse lists the used tickets in the order of their first use.
	byFirstUse *list.List
	bytes      int
	// highestEvicted is the highest sequence number of an evicted ticket.
	highestEvicted uint64
}

type usedTicket struct {
	sequence uint64
	issuedAt time.Time
	usedAt   time.Time
	finished bool
	outcome  Outcome
	element  *list.Element
}

// NewTickets returns the tickets of an incarnation, with none issued.
func NewTickets(cfg TicketsConfig) *Tickets {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = MaxTicketBytes
	}
	return &Tickets{cfg: cfg, used: make(map[uint64]*usedTicket), byFirstUse: list.New()}
}

func (u *usedTicket) size() int {
	return ticketOverhead + len(u.outcome.Answer) + len(u.outcome.Reason)
}

// isEvictable reports whether the ticket is finished and too old to be used for the first
// time.
func (u *usedTicket) isEvictable(now time.Time) bool {
	return u.finished && now.Sub(u.issuedAt) > TicketLifetime
}
