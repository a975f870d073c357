package rockstream

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Stream is the state of one answer across the attempts that produce it.
type Stream struct {
	Epoch      uint32 // of the attempt whose tokens are taken
	Base       int    // tokens that earlier attempts delivered
	Tokens     []uint32
	FirstToken time.Time
	LastToken  time.Time
	LargestGap time.Duration
}

// Begin makes an attempt the current one, if its epoch is higher than the last, and returns the tokens it has to replay.
func (s *Stream) Begin(epoch uint32) ([]uint32, bool) {
	if epoch <= s.Epoch {
		return nil, false
	}
	s.Epoch = epoch
	s.Base = len(s.Tokens)
	return append([]uint32(nil), s.Tokens...), true
}

// Take accepts the token if it is the next one of the current attempt; otherwise it returns why the token is dropped.
func (s *Stream) Take(now time.Time, epoch uint32, index int, token uint32) rockreason.Code {
	if epoch != s.Epoch {
		return rockreason.StaleEpoch
	}
	if s.Base+index != len(s.Tokens) {
		return rockreason.RepeatedIndex
	}
	if s.FirstToken.IsZero() {
		s.FirstToken = now
	} else if gap := now.Sub(s.LastToken); gap > s.LargestGap {
		s.LargestGap = gap
	}
	s.LastToken = now
	s.Tokens = append(s.Tokens, token)
	return ""
}

// Delivered returns the number of tokens that the current attempt delivered.
func (s *Stream) Delivered() int { return len(s.Tokens) - s.Base }
