package rockcost

import (
	"fmt"
	"testing"

	"sassafrasrock/core/rockinvariant"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
	"sassafrasrock/io/rockexperiment"
)

// Measures the cost of each operation at each scale.
func BenchmarkOperation(b *testing.B) {
	for _, o := range Operations {
		for _, scale := range Scales {
			b.Run(o.Name+"/"+scale.String(), func(b *testing.B) {
				b.ReportAllocs()
				op := o.Prepare(NewFixture(scale, 1), 1000)
				for i := 0; b.Loop(); i++ {
					if o.Limited && i%900 == 899 {
						b.StopTimer()
						op = o.Prepare(NewFixture(scale, 1), 1000)
						b.StartTimer()
					}
					op()
				}
			})
		}
	}
}

// Measures the cost of each system and invariant in an idle tick, to find which of them is expensive.
func BenchmarkSystem(b *testing.B) {
	f := NewFixture(Full, 1)
	f.StartAttempts(runningStreams)
	for _, s := range rocktick.Systems {
		b.Run(s.Name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.World.Outbox = rocktable.Outbox{}
				s.Run(f.Now, f.World)
			}
		})
	}
	for _, inv := range rockinvariant.All {
		b.Run(inv.Name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := inv.Check(f.Now, f.World); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Runs the complete experiment and logs its records for docs/CAPACITY.md.
func BenchmarkExperiment(b *testing.B) {
	for b.Loop() {
		records, err := Experiment.Run(1)
		if err != nil {
			b.Fatal(err)
		}
		for _, r := range records {
			verdict := ""
			if r.Relation != rockexperiment.NoTarget {
				verdict = fmt.Sprintf("%s %g: met = %t", r.Relation, r.Target, r.Met)
			}
			b.Logf("%-70s %12.4f %-5s %12.4f %s", r.Measure, r.PolicyValue, r.Unit, r.BaselineValue, verdict)
		}
	}
}
