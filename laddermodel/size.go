package laddermodel

import "fmt"

// Size is the amount of each resource that a task needs or a worker has.
type Size struct {
	// Slots is the number of task slots.
	Slots int
	// Millicores is processor time, in thousandths of a core.
	Millicores int
	// Memory is an amount of memory in bytes.
	Memory int64
	// Accelerators is the number of accelerator devices. Tasks do not share a device.
	Accelerators int
}

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return Size{
		Slots:        s.Slots + t.Slots,
		Millicores:   s.Millicores + t.Millicores,
		Memory:       s.Memory + t.Memory,
		Accelerators: s.Accelerators + t.Accelerators,
	}
}

// Sub returns s minus t. Parts of the result may be negative.
func (s Size) Sub(t Size) Size {
	return Size{
		Slots:        s.Slots - t.Slots,
		Millicores:   s.Millicores - t.Millicores,
		Memory:       s.Memory - t.Memory,
		Accelerators: s.Accelerators - t.Accelerators,
	}
}

// Times returns s multiplied by n.
func (s Size) Times(n int) Size {
	return Size{
		Slots:        s.Slots * n,
		Millicores:   s.Millicores * n,
		Memory:       s.Memory * int64(n),
		Accelerators: s.Accelerators * n,
	}
}

// Fits reports whether no part of s is larger than that part of free.
func (s Size) Fits(free Size) bool {
	return s.Slots <= free.Slots && s.Millicores <= free.Millicores &&
		s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// DominantShare returns the dominant share of s in whole: the largest fraction that s takes
// of any resource of whole. A resource that s needs and whole lacks counts as 1.
func (s Size) DominantShare(whole Size) float64 {
	share := 0.0
	consider := func(need, have float64) {
		switch {
		case need <= 0:
		case have <= 0:
			share = max(share, 1)
		default:
			share = max(share, need/have)
		}
	}
	consider(float64(s.Slots), float64(whole.Slots))
	consider(float64(s.Millicores), float64(whole.Millicores))
	consider(float64(s.Memory), float64(whole.Memory))
	consider(float64(s.Accelerators), float64(whole.Accelerators))
	return share
}

// String returns the size as text for people, with memory in MiB.
func (s Size) String() string {
	text := fmt.Sprintf("%d slots, %dm cores, %d MiB", s.Slots, s.Millicores, s.Memory>>20)
	if s.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", s.Accelerators)
	}
	return text
}
