package quota

import (
	"math"
	"math/bits"
	"time"
)

// Amount is a number of tokens in units of a millionth of a token. As a rate
// it is in millionths of a token per second.
type Amount int64

// Token is what one request costs.
const Token Amount = 1_000_000

// maxAmount keeps sums and doubled values within int64.
const maxAmount = Amount(math.MaxInt64 / 8)

// Tokens returns an amount of whole tokens, bounded to about 10^12.
func Tokens(n int64) Amount {
	if n >= int64(maxAmount/Token) {
		return maxAmount / Token * Token
	}
	return Amount(max(n, 0)) * Token
}

// PerSecond converts a rate in tokens per second, rounded down.
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

// maxAccrual bounds the time that one accrual covers, so that the product with
// the rate fits 128 bits divided by a second. A bucket is full long before.
const maxAccrual = time.Hour

// accrual adds up a rate over time without loss by rounding.
type accrual struct {
	rem uint64 // carried remainder, in units of 1e-9
}

// add returns what a rate gives in d together with the remainder before.
func (c *accrual) add(rate Amount, d time.Duration) Amount {
	if d <= 0 || rate <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(min(d, maxAccrual)))
	lo, carry := bits.Add64(lo, c.rem, 0)
	q, rem := bits.Div64(hi+carry, lo, uint64(time.Second))
	c.rem = rem
	return Amount(q)
}

// after returns the time in which a rate gives an amount, rounded up.
func after(rate, a Amount) time.Duration {
	if a <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxAccrual
	}
	s := float64(a) / float64(rate)
	return time.Duration(min(math.Ceil(s*float64(time.Second)), float64(maxAccrual)))
}
