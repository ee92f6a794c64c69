package quota

import (
	"math"
	"math/bits"
	"time"
)

// Amount is a number of tokens in units of a millionth of a token. As a rate
// it is in millionths of a token per second.
type Amount int64

// Token is one whole token, the cost of one request.
const Token Amount = 1_000_000

// maxAmount is low enough that sums and doubled values fit int64.
const maxAmount = Amount(math.MaxInt64 / 8)

// Tokens returns an amount of n whole tokens, limited to the range from 0 to
// about 10^12.
func Tokens(n int64) Amount {
	if n >= int64(maxAmount/Token) {
		return maxAmount / Token * Token
	}
	return Amount(max(n, 0)) * Token
}

// PerSecond converts a rate in tokens per second to an Amount, rounded down and
// limited to the range from 0 to maxAmount.
func PerSecond(rate float64) Amount {
	units := rate * float64(Token)
	if !(units > 0) {
		return 0
	}
	if units >= float64(maxAmount) {
		return maxAmount
	}
	return Amount(units)
}

// Float returns the amount in tokens.
func (a Amount) Float() float64 {
	return float64(a) / float64(Token)
}

// maxAccrualTime limits the time that one accrual covers, so that the 128-bit
// product with the rate, divided by the nanoseconds of a second, fits 64 bits. Buckets
// with usual settings are full long before; in others, tokens that would accrue in the
// rest of a longer pause are lost.
const maxAccrualTime = time.Hour

// accrual integrates a rate over time and carries the rounding remainder from
// one step to the next, so that no tokens are lost to rounding.
type accrual struct {
	rem uint64 // carried remainder in units of 1e-9 of an Amount unit
}

// add returns the tokens that accrue at a rate in d, including the carried
// remainder.
func (c *accrual) add(rate Amount, d time.Duration) Amount {
	if d <= 0 || rate <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(min(d, maxAccrualTime)))
	lo, carry := bits.Add64(lo, c.rem, 0)
	q, rem := bits.Div64(hi+carry, lo, uint64(time.Second))
	c.rem = rem
	return Amount(q)
}

// accrualTime returns the time in which an amount accrues at a rate, rounded up
// and at most maxAccrualTime.
func accrualTime(rate, a Amount) time.Duration {
	if a <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxAccrualTime
	}
	s := float64(a) / float64(rate)
	return time.Duration(min(math.Ceil(s*float64(time.Second)), float64(maxAccrualTime)))
}
