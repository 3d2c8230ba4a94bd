package mangoload

import (
	"os"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"mangolane/core/mangomodel"
)

// writeReport writes an HTML page that plots the time to the first token of
// each complete response over the time of its arrival, by rank.
func writeReport(path string, outcomes []Outcome) error {
	chart := charts.NewScatter()
	chart.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Time to the first token"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "arrival (s)", Type: "value"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "TTFT (ms)", Type: "value"}),
	)
	for rank := range mangomodel.Rank(mangomodel.Ranks) {
		chart.AddSeries(rank.String(), points(rank, outcomes))
	}
	page := components.NewPage()
	page.AddCharts(chart)
	f, err := os.Create(path)
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	if err := page.Render(f); err != nil {
		f.Close()
		return mangomodel.Errors.Wrap(err)
	}
	return mangomodel.Errors.Wrap(f.Close())
}

func points(rank mangomodel.Rank, outcomes []Outcome) []opts.ScatterData {
	var data []opts.ScatterData
	for _, o := range outcomes {
		if o.Arrival.Rank == rank && o.Complete {
			at := o.Arrival.At.Seconds()
			ttft := float64(o.TTFT) / float64(time.Millisecond)
			data = append(data, opts.ScatterData{Value: []float64{at, ttft}})
		}
	}
	return data
}
