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
	// MaxKeysPerIssue is the maximum number of keys in one call of Issue.
	MaxKeysPerIssue = 256
	// DefaultWindow is the default number of sequence numbers that an issuer
	// retains. It allows 870 keys per second with MaxAge and takes 64 KB.
	DefaultWindow = 1 << 19
	// customerWindowDivisor is the window divided by the maximum number of
	// unexpired keys of one customer. It keeps a customer that requests keys
	// without limit from filling the whole window.
	customerWindowDivisor = 4
	secretBytes           = 32
)

// Issuer creates the issued keys of one incarnation of an instance and records
// which of them were dispatched. It is safe for concurrent use.
type Issuer struct {
	Instance    string
	Incarnation uint64

	mu             sync.Mutex
	secret         [secretBytes]byte
	start          time.Time
	dispatched     []uint64 // bit set of dispatched sequence numbers, indexed by seq modulo window
	window         uint64
	next           uint64 // next sequence number
	issuedBySecond []issueSecond
	liveKeys       map[string]uint64 // number of unexpired keys by customer
}

// issueSecond counts the keys that were issued within one second.
type issueSecond struct {
	second         int64  // since the start of the incarnation
	firstSeq       uint64 // sequence number of the first key of this second
	keysByCustomer map[string]uint64
}

// IssuerOption configures an Issuer.
type IssuerOption func(*Issuer)

// WithWindow sets the number of sequence numbers that the issuer retains. It is
// rounded up to a multiple of 64.
func WithWindow(n int) IssuerOption {
	return func(i *Issuer) { i.window = uint64(max(n, 1)+63) / 64 * 64 }
}

// NewIssuer returns an issuer with a random secret that is held by this value
// only. An instance must never use the same incarnation twice. It returns a
// *KeyError if the name of the instance is empty or too long to be encoded in a
// key.
func NewIssuer(instance string, incarnation uint64, now time.Time, opts ...IssuerOption) (*Issuer, error) {
	if instance == "" || len(instance) > maxInstanceBytes {
		return nil, &KeyError{Detail: fmt.Sprintf("instance must have 1 to %d bytes", maxInstanceBytes)}
	}
	i := &Issuer{
		Instance:    instance,
		Incarnation: incarnation,
		start:       now,
		window:      DefaultWindow,
		liveKeys:    map[string]uint64{},
	}
	_, _ = rand.Read(i.secret[:]) // never fails, see crypto/rand
	for _, opt := range opts {
		opt(i)
	}
	i.dispatched = make([]uint64, i.window/64)
	return i, nil
}

// Issue returns n new keys for a customer. It returns a refusal if n is out of
// range, if the window is full of unexpired keys, or if the customer would
// exceed its fraction of the window.
func (i *Issuer) Issue(now time.Time, customer string, n int) ([]Key, *refuse.Error) {
	if n < 1 || n > MaxKeysPerIssue {
		return nil, refuse.New(refuse.BadRequest, "a batch has 1 to %d keys, not %d", MaxKeysPerIssue, n)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	since := i.sinceStart(now)
	i.dropExpired(since)
	count := uint64(n)
	if i.next-i.windowStart()+count > i.window {
		return nil, refuse.New(refuse.RateLimited, "too many issued keys are still valid on this node").WithRetryAfter(time.Second)
	}
	if i.liveKeys[customer]+count > max(i.window/customerWindowDivisor, 1) {
		return nil, refuse.New(refuse.RateLimited, "too many issued keys of this customer are still valid on this node").WithRetryAfter(time.Second)
	}
	i.recordIssued(since, customer, count)
	out := make([]Key, n)
	for j := range out {
		out[j] = i.newKey(since, customer)
	}
	return out, nil
}

func (i *Issuer) newKey(since time.Duration, customer string) Key {
	k := Key{
		Kind:        KindIssued,
		Instance:    i.Instance,
		Incarnation: i.Incarnation,
		Seq:         i.next,
		SinceStart:  since,
	}
	k.mac = i.computeMAC(k, customer)
	i.setDispatched(k.Seq, false)
	i.next++
	return k
}

// recordIssued counts n new keys of a customer in the current second.
func (i *Issuer) recordIssued(since time.Duration, customer string, n uint64) {
	second := int64(since / time.Second)
	last := len(i.issuedBySecond) - 1
	if last < 0 || i.issuedBySecond[last].second < second {
		i.issuedBySecond = append(i.issuedBySecond, issueSecond{second: second, firstSeq: i.next, keysByCustomer: map[string]uint64{}})
		last++
	}
	i.issuedBySecond[last].keysByCustomer[customer] += n
	i.liveKeys[customer] += n
}

// dropExpired removes the seconds of which all keys are too old to run.
func (i *Issuer) dropExpired(since time.Duration) {
	n := 0
	for n < len(i.issuedBySecond) && time.Duration(i.issuedBySecond[n].second+1)*time.Second+MaxAge < since {
		for customer, count := range i.issuedBySecond[n].keysByCustomer {
			i.liveKeys[customer] -= count
			if i.liveKeys[customer] == 0 {
				delete(i.liveKeys, customer)
			}
		}
		n++
	}
	i.issuedBySecond = i.issuedBySecond[n:]
}

// windowStart returns the lowest sequence number in the window.
func (i *Issuer) windowStart() uint64 {
	if len(i.issuedBySecond) == 0 {
		return i.next
	}
	return i.issuedBySecond[0].firstSeq
}

// sinceStart returns the time since the start of the incarnation. The result is
// never earlier than the newest second with issued keys, so that issuedBySecond
// stays sorted when the clock is set back.
func (i *Issuer) sinceStart(now time.Time) time.Duration {
	d := max(now.Sub(i.start), 0)
	if last := len(i.issuedBySecond) - 1; last >= 0 {
		d = max(d, time.Duration(i.issuedBySecond[last].second)*time.Second)
	}
	return d
}

// IsOwn reports whether the key names this instance and incarnation. It doesn't
// check the MAC.
func (i *Issuer) IsOwn(k Key) bool {
	return k.Kind == KindIssued && k.Instance == i.Instance && k.Incarnation == i.Incarnation
}

// Valid reports whether this incarnation issued the key to the customer.
func (i *Issuer) Valid(k Key, customer string) bool {
	if !i.IsOwn(k) {
		return false
	}
	want := i.computeMAC(k, customer)
	return hmac.Equal(want[:], k.mac[:])
}

// checkDispatchable returns nil if a valid key may be dispatched now, or the
// refusal.
func (i *Issuer) checkDispatchable(now time.Time, k Key) *refuse.Error {
	i.mu.Lock()
	defer i.mu.Unlock()
	since := i.sinceStart(now)
	i.dropExpired(since)
	if k.Seq < i.windowStart() || k.Seq >= i.next {
		return keyExpired(MaxAge)
	}
	if i.isDispatched(k.Seq) {
		return outcomeUnknown("the request with this key was dispatched; its outcome is no longer kept")
	}
	if since-k.SinceStart > MaxAge {
		return keyExpired(since - k.SinceStart).WithExecuted(refuse.NotExecuted)
	}
	return nil
}

// markDispatched marks the key as dispatched. It returns false if the key was
// already marked or its sequence number is outside the window.
func (i *Issuer) markDispatched(k Key) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k.Seq < i.windowStart() || k.Seq >= i.next || i.isDispatched(k.Seq) {
		return false
	}
	i.setDispatched(k.Seq, true)
	return true
}

// unmarkDispatched clears the mark that markDispatched set.
func (i *Issuer) unmarkDispatched(k Key) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k.Seq >= i.windowStart() && k.Seq < i.next {
		i.setDispatched(k.Seq, false)
	}
}

func (i *Issuer) isDispatched(seq uint64) bool {
	n := seq % i.window
	return i.dispatched[n/64]&(1<<(n%64)) != 0
}

func (i *Issuer) setDispatched(seq uint64, on bool) {
	n := seq % i.window
	if on {
		i.dispatched[n/64] |= 1 << (n % 64)
		return
	}
	i.dispatched[n/64] &^= 1 << (n % 64)
}

func (i *Issuer) computeMAC(k Key, customer string) (mac [macBytes]byte) {
	h := hmac.New(sha256.New, i.secret[:])
	_, _ = h.Write(k.payload())
	_, _ = h.Write([]byte(customer))
	copy(mac[:], h.Sum(nil))
	return mac
}
