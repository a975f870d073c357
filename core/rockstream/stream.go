package rockstream

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Stream is the state of one answer across the attempts that produce it. Each attempt has its own
// epoch; tokens of earlier epochs are dropped.
type Stream struct {
	Epoch      uint32   // epoch of the current attempt
	Offset     int      // index in Tokens of the first token of the current attempt
	Tokens     []uint32 // delivered to the caller
	FirstToken time.Time
	LastToken  time.Time
	LargestGap time.Duration // between successive tokens
}

// Begin makes the attempt with this epoch the current one and returns the tokens that it has to replay.
// It returns false if the epoch is not higher than that of the current attempt.
func (s *Stream) Begin(epoch uint32) ([]uint32, bool) {
	if epoch <= s.Epoch {
		return nil, false
	}
	s.Epoch = epoch
	s.Offset = len(s.Tokens)
	return append([]uint32(nil), s.Tokens...), true
}

// Take appends the token if it is the next one of the current attempt; otherwise it returns the reason
// for which the token is dropped. The index counts from the first token of the attempt.
func (s *Stream) Take(now time.Time, epoch uint32, index int, token uint32) rockreason.Code {
	if epoch != s.Epoch {
		return rockreason.StaleEpoch
	}
	if s.Offset+index != len(s.Tokens) {
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

// Delivered returns the number of tokens that the current attempt has delivered.
func (s *Stream) Delivered() int { return len(s.Tokens) - s.Offset }
