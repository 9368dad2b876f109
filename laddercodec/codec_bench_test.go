package laddercodec_test

import (
	"fmt"
	"testing"

	"lacewingladder/laddercodec"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// BenchmarkHeartbeat measures the time to encode and decode a heartbeat, for different numbers of
// racks that the sender holds, and reports the encoded size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, racks := range []int{0, 1, 2, 5} {
		b.Run(fmt.Sprintf("racks=%d", racks), func(b *testing.B) {
			heartbeat := laddermessage.Heartbeat{
				From:        laddermodel.EntryVM{Name: "kaohsiung-a-e2", Region: "tw-south", Zone: "kaohsiung-a", PeerAddress: address},
				Incarnation: "01M8Z2E7ZPNA45FFE32F77BQCC", Version: 700,
			}
			for i := range racks {
				heartbeat.Digests = append(heartbeat.Digests, ladderplacement.Digest{
					Holder: heartbeat.From.Name, Region: heartbeat.From.Region, Zone: heartbeat.From.Zone, Rack: fmt.Sprintf("kaohsiung-a-r%d", i),
					Free:        laddermodel.Size{Slots: 40, Millicores: 160_000, Memory: 300 << 30},
					LargestFree: laddermodel.Size{Slots: 7, Millicores: 30_000, Memory: 60 << 30}, Home: true, PredictedWait: 20_000_000,
				})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := laddercodec.Encode(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if _, err := laddercodec.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
