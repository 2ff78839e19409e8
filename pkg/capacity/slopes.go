package capacity

import (
	"bytes"
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// Slope describes how a need grows with one driver. A slope that has not been
// measured is never used in a computation.
type Slope struct {
	Name     string `yaml:"name"`
	Unit     string `yaml:"unit"`
	Measured bool   `yaml:"measured"`
	// Intercept is the need at a driver of zero, Slope its growth per unit of the
	// driver.
	Intercept float64 `yaml:"intercept,omitempty"`
	Slope     float64 `yaml:"slope,omitempty"`
	// Low and High are the smallest and largest slope of Runs runs. Slope is the
	// median.
	Low  float64 `yaml:"low,omitempty"`
	High float64 `yaml:"high,omitempty"`
	Runs int     `yaml:"runs,omitempty"`
	// Points are the measurements of the last run, through which the line was
	// fitted. Empty if only a rate was measured.
	Points []Point `yaml:"points,omitempty"`
	// Command is the command that repeats the measurement.
	Command string `yaml:"command,omitempty"`
	// Note describes the conditions of the measurement.
	Note string `yaml:"note,omitempty"`
}

// Point is the need Y measured at the size X.
type Point struct {
	X float64 `yaml:"x"`
	Y float64 `yaml:"y"`
}

// Slopes holds slopes by name.
type Slopes map[string]Slope

// slopesFile is the YAML form of Slopes.
type slopesFile struct {
	Slopes []Slope `yaml:"slopes"`
}

// ParseSlopes reads a slopes file. Error: fault.KindInvalidSettings.
func ParseSlopes(file string, data []byte) (Slopes, error) {
	var f slopesFile
	_, problems := strictyaml.Decode(file, data, &f)
	if err := problemsError(problems); err != nil {
		return nil, err
	}
	out := Slopes{}
	for _, s := range f.Slopes {
		if _, ok := out[s.Name]; ok {
			return nil, fault.New(fault.KindInvalidSettings, "%s: slope %q occurs more than once", file, s.Name)
		}
		out[s.Name] = s
	}
	return out, nil
}

// Format returns the slopes as YAML, sorted by name.
func (s Slopes) Format() ([]byte, error) {
	f := slopesFile{Slopes: make([]Slope, 0, len(s))}
	for _, v := range s {
		f.Slopes = append(f.Slopes, v)
	}
	sort.Slice(f.Slopes, func(i, j int) bool { return f.Slopes[i].Name < f.Slopes[j].Name })
	var b bytes.Buffer
	b.WriteString("# Written by the measurements; see docs/CAPACITY.md. Don't edit by hand.\n")
	err := yaml.NewEncoder(&b, yaml.IndentSequence(true)).Encode(f)
	return b.Bytes(), err
}

// Line is a line fitted through Points, or a measured rate without points.
type Line struct {
	Slope     float64
	Intercept float64
	Points    []Point
}

// Fit returns the least-squares line through the points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Line{Slope: slope, Intercept: (sy - slope*sx) / n, Points: points}
}
