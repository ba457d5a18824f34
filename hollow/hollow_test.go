package hollow

import (
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/link"
	"github.com/cedarreel/cedarreel/manifest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hollow")
}

func small() Plan {
	plan := Proportional(12)
	plan.Span, plan.Seed = 4*time.Second, 1
	return plan
}

var _ = Describe("hollow fleet", func() {
	It("founds its core, lists every server and brings a change everywhere", func() {
		result := Play(small())
		Expect(result.Stopped).To(BeEmpty())
		Expect(result.Converged).To(BeNumerically(">", 0))
		Expect(result.Listed).To(BeNumerically(">=", 0))
		Expect(result.Force).NotTo(BeEmpty())
		Expect(result.Lacking).To(HaveEach(0))
		Expect(result.Roles[RoleData].Count).To(Equal(12))
		Expect(result.Roles[RoleCore].Count).To(Equal(3))
	})

	It("counts the same letters with the same seed, however many workers there are", func() {
		alone := small()
		alone.Workers = 1
		first, second := Play(small()), Play(alone)
		Expect(first.Network).To(Equal(second.Network))
		Expect(first.Force).To(Equal(second.Force))
	})

	It("given servers and owners that stay, when changes come, then no shard is taken over and no list goes whole", func() {
		result := Play(small())
		Expect([]float64{result.TakeOvers, result.Whole}).To(Equal([]float64{0, 0}))
	})

	It("counts shards that are taken over and lists that go whole", func() {
		run := newRun(small())
		defer run.world.Close()
		run.build()
		run.boot()
		Expect(run.perSecond("take_overs", time.Second)).To(BeNumerically(">=", run.plan.Regions))
		Expect(run.perSecond(wholeLists, time.Second)).To(BeNumerically(">=", run.plan.Nodes*run.plan.Regions))
	})

	It("takes the loss of a zone with a core machine", func() {
		plan := small()
		plan.Scene = Zone
		event := Play(plan).Event
		Expect(event.View).To(BeNumerically(">", 0))
		Expect(event.Force).To(BeNumerically(">", 0))
		Expect(event.Lacking).To(BeZero())
	})

	It("counts a letter as large as its bundle is", func() {
		letters := []contract.Letter{{Kind: "shuffle", From: "node", Boot: "b1", Body: json.RawMessage(`{"answer":true}`)}, {Kind: "feed-news", From: "node", Boot: "b1", Body: json.RawMessage(`{}`)}}
		content, failure := json.Marshal(link.Bundle{Letters: letters})
		Expect(failure).NotTo(HaveOccurred())
		size := 0
		for index, letter := range letters {
			size += sizeOf(letter, index)
		}
		Expect(size).To(Equal(len(content)))
	})

	It("has a configuration that can be read, in the plan's proportions", func() {
		plan := Proportional(PlannedNodes)
		Expect([]int{plan.Controls, plan.Servers, plan.Regions, plan.Zones}).To(Equal([]int{PlannedControls, PlannedServers, PlannedRegions, PlannedZones}))
		read, failure := manifest.Read(plan.Configuration())
		Expect(failure).NotTo(HaveOccurred())
		Expect(read.Regions).To(HaveLen(PlannedRegions))
		Expect(read.Halls).To(HaveLen(PlannedZones))
		for _, row := range plan.servers() {
			Expect(read.Halls[row.Hall].Region).To(Equal(row.Region))
		}
	})
})

var _ = Describe("lines", func() {
	sweep := func() *Sweep {
		sweep := &Sweep{Vary: "nodes", Scene: Calm}
		for _, value := range []float64{10, 20, 40, 80} {
			for seed := range uint64(2) {
				sweep.Values = append(sweep.Values, value)
				sweep.Results = append(sweep.Results, Result{Plan: Plan{Seed: seed}, Measured: 10, Network: 100 + value*float64(seed+2)})
			}
		}
		return sweep
	}
	It("give the slope of a figure, its spread over the seeds and its height at the plan's number", func() {
		lines := sweep()
		lines.Fitted()
		for _, fit := range lines.Fits {
			if fit.Figure == "fleet.network" {
				Expect([]float64{fit.Slope, fit.Least, fit.Most, fit.Base}).To(HaveExactElements(BeNumerically("~", 2.5, 1e-9), BeNumerically("~", 2, 1e-9), BeNumerically("~", 3, 1e-9), BeNumerically("~", 100, 1e-9)))
				Expect(fit.AtPlan).To(BeNumerically("~", 100+2.5*PlannedNodes, 1e-6))
			}
		}
	})
	It("leave out runs that were stopped before they measured anything", func() {
		lines := sweep()
		for place := range lines.Results {
			lines.Results[place].Measured = 0
		}
		lines.Fitted()
		Expect(lines.Fits).To(BeEmpty())
	})
	It("are written with their figures and a picture", func() {
		lines, folder := sweep(), GinkgoT().TempDir()
		lines.Fitted()
		Expect(lines.Write(folder)).To(Succeed())
		for _, name := range []string{"nodes.json", "nodes.csv", "nodes.svg"} {
			Expect(filepath.Join(folder, name)).To(BeARegularFile())
		}
	})
	It("are of known things alone", func() {
		_, failure := Vary(Base(), "weather", 1)
		Expect(failure).To(HaveOccurred())
	})
})

var _ = It("a model finds what causes a cost, and tells it at the plan", func() {
	results := []Result{}
	for _, nodes := range []int{12, 24, 48} {
		for _, regions := range []int{2, 4, 8} {
			plan := Plan{Nodes: nodes, Controls: 4, Regions: regions}
			results = append(results, Result{Plan: plan, Measured: 10, Roles: map[string]Role{RoleData: {Kinds: map[string]Rate{"licence-ask": {BytesOut: 7 + 400*float64(regions)}}}}})
		}
	}
	for _, explained := range Explain(results, Proportional(PlannedNodes)) {
		if explained.Name == "data: questions for lists, out" {
			Expect(explained.Slopes["region"]).To(BeNumerically("~", 400, 1e-6))
			Expect(explained.AtPlan).To(BeNumerically("~", 7+400*PlannedRegions, 1e-4))
		}
	}
})
