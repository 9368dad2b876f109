package laddermodel_test

import (
	"fmt"

	"lacewingladder/laddermodel"
)

func ExampleSize_Fits() {
	worker := laddermodel.Size{Slots: 8, Millicores: 16_000, Memory: 64 << 30}
	task := laddermodel.Size{Slots: 1, Millicores: 500, Memory: 20 << 30}
	free := worker.Sub(task.Times(2))
	fmt.Println(free)
	fmt.Println(task.Fits(free), task.Times(2).Fits(free))
	fmt.Printf("%.4f\n", task.DominantShare(worker))
	// Output:
	// 6 slots, 15000m cores, 24576 MiB
	// true false
	// 0.3125
}
