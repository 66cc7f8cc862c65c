package host

import (
	_ "embed"

	"siskincross/core/chart"
)

//go:embed host.toml
var chartText string

// Chart is the state chart of a host in its pool.
var Chart = chart.MustParse(chartText)

// States of a host. Only a host in state Serving gets new work. A host in any other state counts against the
// availability budget of its pool.
const (
	Serving   chart.State = "serving"
	Draining  chart.State = "draining"
	Drained   chart.State = "drained"
	Rebooting chart.State = "rebooting"
	Ready     chart.State = "ready"
	Failed    chart.State = "failed"
	Leaving   chart.State = "leaving"
	Gone      chart.State = "gone"
)

// Events of a host.
const (
	Drain     chart.Event = "drain"
	DrainDone chart.Event = "drained"
	Reboot    chart.Event = "reboot"
	Return    chart.Event = "return"
	Cancel    chart.Event = "cancel"
	Serve     chart.Event = "serve"
	Move      chart.Event = "move"
	Fail      chart.Event = "fail"
	Leave     chart.Event = "leave"
	Forget    chart.Event = "forget"
)
