package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Row is one need of one role at a size.
type Row struct {
	Role string `json:"role"`
	Need string `json:"need"`
	Unit string `json:"unit"`
	// Known is false if a slope has not been measured or a number of the size
	// is not stated. In this case Missing names them and there is no value.
	Known   bool     `json:"known"`
	Missing []string `json:"missing,omitempty"`
	// Value is the need. Low and High are the needs at the smallest and largest
	// measured slopes.
	Value float64 `json:"value,omitempty"`
	Low   float64 `json:"low,omitempty"`
	High  float64 `json:"high,omitempty"`
	// Arithmetic is the computation of Value as text.
	Arithmetic string `json:"arithmetic,omitempty"`
	// Budget is zero if the need has no limit. Margin is Budget divided by Value.
	Budget    float64 `json:"budget,omitempty"`
	Margin    float64 `json:"margin,omitempty"`
	Mechanism string  `json:"mechanism"`
}

// OverBudget reports whether the need exceeds its budget.
func (r Row) OverBudget() bool { return r.Known && r.Budget > 0 && r.Value > r.Budget }

// Compute returns the needs of all roles at the given size.
func Compute(size Size, slopes Slopes) []Row {
	d := allDrivers(size)
	rows := make([]Row, 0, len(needs))
	for _, n := range needs {
		rows = append(rows, computeRow(n, d, slopes, size.Budget))
	}
	return rows
}

// computeRow computes the row of one need.
func computeRow(n need, d drivers, slopes Slopes, budget Budget) Row {
	r := Row{Role: n.role, Need: n.name, Unit: n.unit, Mechanism: n.mechanism}
	if n.budgetOf != nil {
		r.Budget = n.budgetOf(budget)
	}
	var parts []string
	for _, t := range n.terms {
		s, ok := slopes[t.slope]
		if !ok || !s.Measured {
			r.Missing = append(r.Missing, t.slope+" is not measured")
		}
		x, ok := d[t.driver]
		if !ok {
			r.Missing = append(r.Missing, t.driver+" is not stated")
		}
		base := s.Intercept
		if t.noIntercept {
			base = 0
		}
		r.Value += n.scale * (base + s.Slope*x)
		r.Low += n.scale * (base + s.Low*x)
		r.High += n.scale * (base + s.High*x)
		parts = append(parts, formatTerm(base, s.Slope, x, t.driver))
	}
	if len(r.Missing) > 0 {
		return Row{Role: r.Role, Need: r.Need, Unit: r.Unit, Missing: r.Missing, Budget: r.Budget, Mechanism: r.Mechanism}
	}
	r.Known = true
	r.Arithmetic = strings.Join(parts, " + ")
	if n.scale != 1 {
		r.Arithmetic = fmt.Sprintf("(%s) × %s", r.Arithmetic, formatNumber(n.scale))
	}
	if r.Budget > 0 && r.Value > 0 {
		r.Margin = r.Budget / r.Value
	}
	return r
}

// formatTerm formats base + slope × driver; it omits a base of zero.
func formatTerm(base, slope, x float64, driver string) string {
	s := fmt.Sprintf("%s × %s %s", formatNumber(slope), formatNumber(x), driver)
	if base != 0 {
		s = formatNumber(base) + " + " + s
	}
	return s
}

// significantDigits is the number of significant digits of printed numbers.
const significantDigits = 4

// formatNumber formats v with significantDigits digits.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', significantDigits, 64) }

// SmallestMargin returns the known row with the smallest margin, which exceeds its
// budget first as the size grows. It skips fallbacks; ok is false if no row has a
// margin.
func SmallestMargin(rows []Row) (smallest Row, ok bool) {
	for _, r := range rows {
		if r.Mechanism == mechanismFallback {
			continue
		}
		if r.Known && r.Budget > 0 && r.Margin > 0 && (!ok || r.Margin < smallest.Margin) {
			smallest, ok = r, true
		}
	}
	return smallest, ok
}

// Markdown returns the rows as one Markdown table per role, followed by the row
// with the smallest margin.
func Markdown(size Size, rows []Row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n", size.Name)
	role := ""
	for _, r := range rows {
		if r.Role != role {
			role = r.Role
			fmt.Fprintf(&b, "\n### %s\n\n| need | value | spread | budget | margin | arithmetic | carried by |\n|---|---|---|---|---|---|---|\n", role)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Need, valueText(r), spreadText(r), budgetText(r), marginText(r), arithmeticText(r), r.Mechanism)
	}
	if r, ok := SmallestMargin(rows); ok {
		fmt.Fprintf(&b, "\nOf the needs that are known, %s, %s has the smallest margin: it breaks first, at %s times what drives it (less its fixed part).\n", r.Role, r.Need, formatNumber(r.Margin))
	}
	return b.String()
}

func valueText(r Row) string {
	if !r.Known {
		return "not known"
	}
	s := formatNumber(r.Value) + " " + r.Unit
	if r.OverBudget() {
		s += " **over**"
	}
	return s
}

func spreadText(r Row) string {
	if !r.Known {
		return ""
	}
	return formatNumber(r.Low) + " to " + formatNumber(r.High)
}

func budgetText(r Row) string {
	if r.Budget == 0 {
		return "none"
	}
	return formatNumber(r.Budget)
}

func marginText(r Row) string {
	if r.Margin == 0 {
		return ""
	}
	return formatNumber(r.Margin) + "×"
}

func arithmeticText(r Row) string {
	if !r.Known {
		return strings.Join(r.Missing, "; ")
	}
	return r.Arithmetic
}

// MissingSlopes returns the names of the slopes that the needs use and that s does
// not contain.
func MissingSlopes(s Slopes) []string {
	var out []string
	for _, n := range needs {
		for _, t := range n.terms {
			if _, ok := s[t.slope]; !ok {
				out = append(out, t.slope)
			}
		}
	}
	return out
}
