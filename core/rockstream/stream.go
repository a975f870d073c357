package rockstream

import (
	"time"

	"sassafrasrock/core/rockreason"
)

// Stream is the state of one answer across the attempts that produce it. Each attempt has its own
// epoch; tokens of earlier epochs are dropped.
type Stream struct {
	Epoch        uint32   // epoch of the current attempt
	Offset       int      // index in Tokens of the first token of the current attempt
	Tokens       []uint32 // delivered to the caller
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	LargestGap   time.Duration // between successive tokens
}

// BeginAttempt makes the attempt with this epoch the current one and returns the tokens that it has
// to replay. It returns false if the epoch is not higher than that of the current attempt.
func (s *Stream) BeginAttempt(epoch uint32) ([]uint32, bool) {
	if epoch <= s.Epoch {
		return nil, false
	}
	s.Epoch = epoch
	s.Offset = len(s.Tokens)
	return append([]uint32(nil), s.Tokens...), true
}

// Accept appends the token if it is the next one of the current attempt; otherwise it returns the
// reason for which the token is dropped. The index counts from the first token of the attempt.
func (s *Stream) Accept(now time.Time, epoch uint32, index int, token uint32) rockreason.Code {
	if epoch != s.Epoch {
		return rockreason.StaleEpoch
	}
	if s.Offset+index != len(s.Tokens) {
		return rockreason.RepeatedIndex
	}
	if s.FirstTokenAt.IsZero() {
		s.FirstTokenAt = now
	} else if gap := now.Sub(s.LastTokenAt); gap > s.LargestGap {
		s.LargestGap = gap
	}
	s.LastTokenAt = now
	s.Tokens = append(s.Tokens, token)
	return ""
}

// AttemptTokens returns the number of tokens that the current attempt has delivered.
func (s *Stream) AttemptTokens() int { return len(s.Tokens) - s.Offset }
