package subset

import "fmt"

// Limits of the settings.
const (
	MaxSize     = 1 << 16
	MaxCoverage = 1 << 16
	MaxFleet    = 1 << 20
)

// Settings determines the size of the subsets. The zero value disables them.
type Settings struct {
	Size     int // minimum number of instances that a member uses
	Coverage int // minimum mean number of members that use each instance; 0 means none
	Fleet    int // number of members
}

// Enabled reports whether subsets are chosen at all.
func (s Settings) Enabled() bool { return s.Size > 0 || s.Coverage > 0 }

// Check returns an error that names the first invalid value.
func (s Settings) Check() error {
	switch {
	case s.Size < 0 || s.Size > MaxSize:
		return fmt.Errorf("subset: size %d is not 0 to %d", s.Size, MaxSize)
	case s.Coverage < 0 || s.Coverage > MaxCoverage:
		return fmt.Errorf("subset: coverage %d is not 0 to %d", s.Coverage, MaxCoverage)
	case s.Enabled() && (s.Fleet < 1 || s.Fleet > MaxFleet):
		return fmt.Errorf("subset: fleet %d is not 1 to %d", s.Fleet, MaxFleet)
	}
	return nil
}

// size returns how many of the listed instances a healthy member uses. It depends on the settings and the
// list only, so that two processes of one member agree on it.
func (s Settings) size(listed int) int {
	size := s.Size
	if s.Coverage > 0 {
		size = max(size, (s.Coverage*listed+s.Fleet-1)/s.Fleet)
	}
	return min(size, listed)
}
