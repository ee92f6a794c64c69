package claim

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"dogwoodsill.org/core/refuse"
)

// Limits of an issuer.
const (
	// MaxKeysPerIssue is the largest number of keys in one batch.
	MaxKeysPerIssue = 256
	// DefaultWindow is the number of sequence numbers that an issuer keeps.
	// It allows 870 keys a second with MaxAge and takes 64 KB.
	DefaultWindow = 1 << 19
	// customerParts is the part of the window that one customer may fill, so
	// that a customer who takes keys without limit leaves room for the others.
	customerParts = 4
	secretBytes   = 32
)

// Issuer creates the issued keys of one incarnation and records which of them
// were dispatched. It is safe for concurrent use.
type Issuer struct {
	Instance    string
	Incarnation uint64

	mu     sync.Mutex
	secret [secretBytes]byte
	start  time.Time
	bits   []uint64 // dispatched numbers, bit seq modulo window
	window uint64
	next   uint64 // next sequence number
	slots  []issueSlot
	held   map[string]uint64 // live keys by customer
}

// issueSlot counts the keys of one second of issue.
type issueSlot struct {
	second int64 // since the start of the incarnation
	first  uint64
	counts map[string]uint64
}

// IssuerOption changes a setting of an issuer.
type IssuerOption func(*Issuer)

// WithWindow sets the number of sequence numbers that are kept. It is
// rounded up to a multiple of 64.
func WithWindow(n int) IssuerOption {
	return func(i *Issuer) { i.window = uint64(max(n, 1)+63) / 64 * 64 }
}

// NewIssuer returns an issuer with a random secret that only this value holds.
// An instance must never use the same incarnation twice. It returns a
// *KeyError if the instance is empty or too long to stand in a key.
func NewIssuer(instance string, incarnation uint64, now time.Time, opts ...IssuerOption) (*Issuer, error) {
	if instance == "" || len(instance) > maxInstance {
		return nil, &KeyError{Detail: fmt.Sprintf("instance must have 1 to %d bytes", maxInstance)}
	}
	i := &Issuer{
		Instance:    instance,
		Incarnation: incarnation,
		start:       now,
		window:      DefaultWindow,
		held:        map[string]uint64{},
	}
	_, _ = rand.Read(i.secret[:]) // never fails, see crypto/rand
	for _, opt := range opts {
		opt(i)
	}
	i.bits = make([]uint64, i.window/64)
	return i, nil
}

// Issue returns n new keys for a customer. It returns a refusal if n is out of
// range, if the window holds no more keys of this age, or if the customer
// holds its part of the window.
func (i *Issuer) Issue(now time.Time, customer string, n int) ([]Key, *refuse.Error) {
	if n < 1 || n > MaxKeysPerIssue {
		return nil, refuse.New(refuse.BadRequest, "a batch has 1 to %d keys, not %d", MaxKeysPerIssue, n)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	since := i.sinceStart(now)
	i.expire(since)
	count := uint64(n)
	if i.next-i.low()+count > i.window {
		return nil, refuse.New(refuse.RateLimited, "too many issued keys are still valid on this node").WithRetryAfter(time.Second)
	}
	if i.held[customer]+count > max(i.window/customerParts, 1) {
		return nil, refuse.New(refuse.RateLimited, "too many issued keys of this customer are still valid on this node").WithRetryAfter(time.Second)
	}
	i.count(since, customer, count)
	out := make([]Key, n)
	for j := range out {
		out[j] = i.create(since, customer)
	}
	return out, nil
}

func (i *Issuer) create(since time.Duration, customer string) Key {
	k := Key{
		Kind:        KindIssued,
		Instance:    i.Instance,
		Incarnation: i.Incarnation,
		Seq:         i.next,
		SinceStart:  since,
	}
	k.mac = i.code(k, customer)
	i.setBit(k.Seq, false)
	i.next++
	return k
}

// count adds keys to the slot of the current second.
func (i *Issuer) count(since time.Duration, customer string, n uint64) {
	second := int64(since / time.Second)
	last := len(i.slots) - 1
	if last < 0 || i.slots[last].second < second {
		i.slots = append(i.slots, issueSlot{second: second, first: i.next, counts: map[string]uint64{}})
		last++
	}
	i.slots[last].counts[customer] += n
	i.held[customer] += n
}

// expire drops the slots whose keys are all too old.
func (i *Issuer) expire(since time.Duration) {
	n := 0
	for n < len(i.slots) && time.Duration(i.slots[n].second+1)*time.Second+MaxAge < since {
		for customer, count := range i.slots[n].counts {
			i.held[customer] -= count
			if i.held[customer] == 0 {
				delete(i.held, customer)
			}
		}
		n++
	}
	i.slots = i.slots[n:]
}

// low returns the first sequence number of the window.
func (i *Issuer) low() uint64 {
	if len(i.slots) == 0 {
		return i.next
	}
	return i.slots[0].first
}

// sinceStart never runs backwards behind the newest slot, so that slots stay in
// order.
func (i *Issuer) sinceStart(now time.Time) time.Duration {
	d := max(now.Sub(i.start), 0)
	if last := len(i.slots) - 1; last >= 0 {
		d = max(d, time.Duration(i.slots[last].second)*time.Second)
	}
	return d
}

// IsOwn reports whether the key names this incarnation.
func (i *Issuer) IsOwn(k Key) bool {
	return k.Kind == KindIssued && k.Instance == i.Instance && k.Incarnation == i.Incarnation
}

// Valid reports whether the key was issued by this incarnation to the customer.
func (i *Issuer) Valid(k Key, customer string) bool {
	if !i.IsOwn(k) {
		return false
	}
	want := i.code(k, customer)
	return hmac.Equal(want[:], k.mac[:])
}

// check says whether a valid key may be dispatched now.
func (i *Issuer) check(now time.Time, k Key) *refuse.Error {
	i.mu.Lock()
	defer i.mu.Unlock()
	since := i.sinceStart(now)
	i.expire(since)
	if k.Seq < i.low() || k.Seq >= i.next {
		return expired(MaxAge)
	}
	if i.bit(k.Seq) {
		return unknown("the request with this key was dispatched; its outcome is no longer kept")
	}
	if since-k.SinceStart > MaxAge {
		return expired(since - k.SinceStart).WithExecuted(refuse.NotExecuted)
	}
	return nil
}

// dispatch marks the key as dispatched. It reports false if it already was or
// if its number is no longer kept.
func (i *Issuer) dispatch(k Key) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k.Seq < i.low() || k.Seq >= i.next || i.bit(k.Seq) {
		return false
	}
	i.setBit(k.Seq, true)
	return true
}

// undo takes the mark of dispatch back.
func (i *Issuer) undo(k Key) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k.Seq >= i.low() && k.Seq < i.next {
		i.setBit(k.Seq, false)
	}
}

func (i *Issuer) bit(seq uint64) bool {
	n := seq % i.window
	return i.bits[n/64]&(1<<(n%64)) != 0
}

func (i *Issuer) setBit(seq uint64, on bool) {
	n := seq % i.window
	if on {
		i.bits[n/64] |= 1 << (n % 64)
		return
	}
	i.bits[n/64] &^= 1 << (n % 64)
}

func (i *Issuer) code(k Key, customer string) (code [macBytes]byte) {
	h := hmac.New(sha256.New, i.secret[:])
	_, _ = h.Write(k.payload())
	_, _ = h.Write([]byte(customer))
	copy(code[:], h.Sum(nil))
	return code
}
