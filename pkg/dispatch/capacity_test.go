package dispatch_test

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusseam/pkg/dispatch"
	"crocusseam/service/peer"
)

// costs counts the step time of the instances and the bytes they sent in a run.
type costs struct {
	step  map[string]time.Duration // time in control steps, by instance
	bytes map[string]int           // sent to peers, by instance
	kinds map[string]int           // bytes by kind of message
}

func (c *costs) addStep(name string, d time.Duration) { c.step[name] += d }

func (c *costs) addMessage(name string, m dispatch.Message) {
	size := proto.Size(peer.ToWire(m)) + 2
	c.bytes[name] += size
	c.kinds[fmt.Sprintf("%T", m)] += size
}

// TestCapacity prints the costs per start and per instance, and their fitted lines,
// that docs/CAPACITY.md uses. It checks nothing and runs only when CAPACITY is set;
// "short" limits it to the smaller sizes.
func TestCapacity(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure")
	}
	const length = 8 * time.Second
	fmt.Println("| Endpoints | Starts/s | Lead us/start | Other us/start | Lead B/start | Other B/start | Heap KB/instance |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	var sizes, leadCost, otherCost []float64
	for _, perDomain := range capacitySizes() {
		config := defaultWorld(1)
		config.perDomain = perDomain
		w := newWorld(config)
		w.run(5 * time.Second)
		w.costs = &costs{step: map[string]time.Duration{}, bytes: map[string]int{}, kinds: map[string]int{}}
		w.offer(loadConfig{seed: 1, share: 0.7, length: length, maxTasks: 100, deadline: 30 * time.Second})
		var heap runtime.MemStats
		w.after(length-time.Second, func() {
			runtime.GC()
			runtime.ReadMemStats(&heap)
		})
		w.run(length)
		starts := float64(w.ledger.startCount)
		lead := float64(w.costs.step["a1"].Microseconds()) / starts
		other, otherBytes := 0.0, 0.0
		for _, n := range w.names {
			if n != "a1" {
				other += float64(w.costs.step[n].Microseconds())
				otherBytes += float64(w.costs.bytes[n])
			}
		}
		fmt.Printf("| %d | %.0f | %.1f | %.1f | %.0f | %.0f | %d |\n", 4*perDomain, starts/length.Seconds(), lead, other/starts,
			float64(w.costs.bytes["a1"])/starts, otherBytes/starts, heap.HeapAlloc/1024/uint64(len(w.names)))
		sizes = append(sizes, float64(4*perDomain))
		leadCost = append(leadCost, lead)
		otherCost = append(otherCost, other/starts)
	}
	printFit("lead, us a start by endpoints", sizes, leadCost)
	printFit("others together, us a start by endpoints", sizes, otherCost)
	fmt.Println("\n| Instances | Idle us/s each | Idle B/s each | Table reads/s | Table writes/s |\n| --- | --- | --- | --- | --- |")
	var counts, idle []float64
	for _, count := range []int{2, 7, 14, 28} {
		config := defaultWorld(1)
		config.instances = map[string][]string{}
		for i := range count {
			d := string(rune('a' + i%4))
			config.instances[d] = append(config.instances[d], fmt.Sprintf("%s%02d", d, i))
		}
		w := newWorld(config)
		w.run(5 * time.Second)
		w.costs = &costs{step: map[string]time.Duration{}, bytes: map[string]int{}, kinds: map[string]int{}}
		w.calls = map[string]int{}
		w.run(20 * time.Second)
		var step time.Duration
		sent := 0
		for _, n := range w.names {
			step += w.costs.step[n]
			sent += w.costs.bytes[n]
		}
		each := float64(step.Microseconds()) / 20 / float64(count)
		fmt.Printf("| %d | %.0f | %.0f | %.1f | %.1f |\n", count, each, float64(sent)/20/float64(count), float64(w.calls["read"])/20, float64(w.calls["write"])/20)
		counts = append(counts, float64(count))
		idle = append(idle, each)
	}
	printFit("idle control, us/s by instances", counts, idle)
}

// printFit fits a line to the points by least squares and prints it with its largest
// residual.
func printFit(name string, x, y []float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base := (sy - slope*sx) / n
	worst := 0.0
	for i := range x {
		worst = math.Max(worst, math.Abs(y[i]-base-slope*x[i]))
	}
	fmt.Printf("\nFit of %s: %.2f + %.4f x, largest residual %.2f\n", name, base, slope, worst)
}

// capacitySizes returns the numbers of endpoints per domain to measure.
func capacitySizes() []int {
	if os.Getenv("CAPACITY") == "short" {
		return []int{6, 12}
	}
	return []int{6, 12, 24, 48}
}
