package subset

import "fmt"

// Bounds of the settings.
const (
	MaxSize     = 1 << 16
	MaxCoverage = 1 << 16
	MaxFleet    = 1 << 20
)

// Settings size the subsets. The zero value switches them off.
type Settings struct {
	Size     int // instances that a member uses at least
	Coverage int // members that use each instance, in the mean, at least; 0: any number
	Fleet    int // members that there are
}

// On tells whether a subset is chosen at all.
func (s Settings) Enabled() bool { return s.Size > 0 || s.Coverage > 0 }

// Check reports what makes the settings invalid.
func (s Settings) Check() error {
	switch {
	case s.Size < 0 || s.Size > MaxSize:
		return fmt.Errorf("subset: a size of %d is not 0 to %d", s.Size, MaxSize)
	case s.Coverage < 0 || s.Coverage > MaxCoverage:
		return fmt.Errorf("subset: a coverage of %d is not 0 to %d", s.Coverage, MaxCoverage)
	case s.Enabled() && (s.Fleet < 1 || s.Fleet > MaxFleet):
		return fmt.Errorf("subset: a fleet of %d is not 1 to %d", s.Fleet, MaxFleet)
	}
	return nil
}

// size is how many of the listed instances a member uses while all is well. It rests on
// the settings and the list alone, so that two processes of one member agree on it.
func (s Settings) size(listed int) int {
	size := s.Size
	if s.Coverage > 0 {
		size = max(size, (s.Coverage*listed+s.Fleet-1)/s.Fleet)
	}
	return min(size, listed)
}
