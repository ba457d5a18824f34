package hollow

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var drawn = []struct {
	title string
	part  float64
	names []string
}{
	{"bytes out, KB/s a node", 1e-3, []string{"data.bytesOut", "control.bytesOut", "core.bytesOut"}},
	{"bytes in, KB/s a node", 1e-3, []string{"data.bytesIn", "control.bytesIn", "core.bytesIn"}},
	{"owner, % of a core", 100, []string{"data.handle", "control.handle", "core.handle"}},
	{"link, % of a core", 100, []string{"data.link", "control.link", "core.link"}},
	{"heap, MB a node", 1e-6, []string{"data.heap", "control.heap", "core.heap"}},
	{"time, s", 1, []string{"fleet.inForce", "fleet.committed", "fleet.converged"}},
}

const drawnWide = 3

// Write keeps the figures, the lines and a picture of a sweep in a folder.
func (sweep *Sweep) Write(folder string) error {
	if failure := os.MkdirAll(folder, 0o755); failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	name := sweep.Vary
	if sweep.Scene != Calm {
		name += "-" + sweep.Scene
	}
	if sweep.Warmup {
		name += "-warmup"
	}
	content, failure := json.Marshal(sweep)
	if failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	path := filepath.Join(folder, name)
	if failure = os.WriteFile(path+".json", append(content, '\n'), 0o644); failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	if len(sweep.Fits) == 0 {
		return nil
	}
	if failure = sweep.table(path + ".csv"); failure != nil {
		return failure
	}
	return sweep.picture(path + ".svg")
}

func (sweep *Sweep) table(path string) error {
	file, failure := os.Create(path)
	if failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	defer file.Close()
	writer := csv.NewWriter(file)
	_ = writer.Write([]string{"figure", "slope", "least slope", "most slope", "base", "r squared", "exponent", "at plan", "points"})
	text := func(number float64) string { return strconv.FormatFloat(number, 'g', 5, 64) }
	for _, fit := range sweep.Fits {
		_ = writer.Write([]string{fit.Figure, text(fit.Slope), text(fit.Least), text(fit.Most), text(fit.Base), text(fit.Share), text(fit.Exponent), text(fit.AtPlan), fmt.Sprint(fit.Points)})
	}
	writer.Flush()
	return eris.Wrap(writer.Error(), "capacity")
}

func (sweep *Sweep) picture(path string) error {
	rows := (len(drawn) + drawnWide - 1) / drawnWide
	plots := make([][]*plot.Plot, rows)
	for place, tile := range drawn {
		one := plot.New()
		one.Title.Text, one.X.Label.Text = tile.title, sweep.Vary
		one.Legend.Top, one.Legend.Left = true, true
		one.Title.TextStyle.Font.Size, one.Legend.TextStyle.Font.Size = font.Length(11), font.Length(8)
		for index, name := range tile.names {
			if failure := sweep.series(one, index, name, tile.part); failure != nil {
				return failure
			}
		}
		plots[place/drawnWide] = append(plots[place/drawnWide], one)
	}
	canvas := vgsvg.New(11*vg.Inch, font.Length(rows)*3*vg.Inch)
	tiles := draw.Tiles{Rows: rows, Cols: drawnWide, PadX: vg.Millimeter * 4, PadY: vg.Millimeter * 4, PadLeft: 4, PadRight: 8, PadTop: 4, PadBottom: 4}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		for column, part := range canvases {
			plots[row][column].Draw(part)
		}
	}
	file, failure := os.Create(path)
	if failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	defer file.Close()
	_, failure = canvas.WriteTo(file)
	return eris.Wrap(failure, "capacity")
}

func (sweep *Sweep) series(one *plot.Plot, index int, name string, part float64) error {
	points := plotter.XYs{}
	for place, result := range sweep.Results {
		if figure, there := result.Figures()[name]; there && result.Measured >= leastMeasured {
			points = append(points, plotter.XY{X: sweep.Values[place], Y: figure * part})
		}
	}
	if len(points) == 0 {
		return nil
	}
	scatter, failure := plotter.NewScatter(points)
	if failure != nil {
		return eris.Wrap(failure, "capacity")
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(index), Radius: 2, Shape: draw.CircleGlyph{}}
	one.Add(scatter)
	one.Legend.Add(name, scatter)
	for _, fit := range sweep.Fits {
		if fit.Figure == name {
			straight := plotter.NewFunction(func(value float64) float64 { return (fit.Base + fit.Slope*value) * part })
			straight.Color = color.Gray{Y: 160}
			one.Add(straight)
		}
	}
	return nil
}
