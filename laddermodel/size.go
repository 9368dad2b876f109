package laddermodel

import "fmt"

// Size is what a task needs or a worker has.
type Size struct {
	// Slots is the number of task slots.
	Slots int
	// Millicores is processor time in thousandths of a core.
	Millicores int
	// Memory is in bytes.
	Memory int64
	// Accelerators is a number of whole devices.
	Accelerators int
}

// Add returns the sum of both sizes.
func (s Size) Add(t Size) Size {
	return Size{
		Slots:        s.Slots + t.Slots,
		Millicores:   s.Millicores + t.Millicores,
		Memory:       s.Memory + t.Memory,
		Accelerators: s.Accelerators + t.Accelerators,
	}
}

// Sub returns s less t. Parts of the result may be negative.
func (s Size) Sub(t Size) Size {
	return Size{
		Slots:        s.Slots - t.Slots,
		Millicores:   s.Millicores - t.Millicores,
		Memory:       s.Memory - t.Memory,
		Accelerators: s.Accelerators - t.Accelerators,
	}
}

// Times returns n times the size.
func (s Size) Times(n int) Size {
	return Size{
		Slots:        s.Slots * n,
		Millicores:   s.Millicores * n,
		Memory:       s.Memory * int64(n),
		Accelerators: s.Accelerators * n,
	}
}

// Fits reports whether s is at most free in every part.
func (s Size) Fits(free Size) bool {
	return s.Slots <= free.Slots && s.Millicores <= free.Millicores &&
		s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// Share returns the largest fraction that s takes of any part of whole, its
// dominant share. A part that whole lacks and s needs counts as 1.
func (s Size) Share(whole Size) float64 {
	share := 0.0
	part := func(need, have float64) {
		switch {
		case need <= 0:
		case have <= 0:
			share = max(share, 1)
		default:
			share = max(share, need/have)
		}
	}
	part(float64(s.Slots), float64(whole.Slots))
	part(float64(s.Millicores), float64(whole.Millicores))
	part(float64(s.Memory), float64(whole.Memory))
	part(float64(s.Accelerators), float64(whole.Accelerators))
	return share
}

// String returns the size for logs, with memory in MiB.
func (s Size) String() string {
	text := fmt.Sprintf("%d slots, %dm cores, %d MiB", s.Slots, s.Millicores, s.Memory>>20)
	if s.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", s.Accelerators)
	}
	return text
}
