package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Names of the tables of the page, in the comments before and after each.
const (
	SlopeTable      = "slopes"
	TimeTable       = "times"
	AssumptionTable = "assumptions"
	EstimateTable   = "figures"
	RankingTable    = "ranking"
	ScopedTable     = "scoped"
	ScopedRanking   = "scoped ranking"
	MissingTable    = "missing"
)

// Measurement is a quantity measured at several sizes, with all other sizes held constant.
type Measurement struct {
	Name      string  // of the row of the page
	Unit      string  // of the values, and what the size counts, as in "B by backends"
	Tolerance float64 // factor by which a value may differ from the page, either way; 0: not compared
	Command   string  // that makes the measurement
	Points    []Point
}

// Slope is a row of the page: a measurement and its fit.
type Slope struct {
	Measurement
	Fit Fit
}

// Page is the text of docs/CAPACITY.md.
type Page struct {
	path string
	text string
}

// ReadPage reads the page from a file.
func ReadPage(path string) (*Page, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return &Page{path, string(text)}, nil
}

// Write writes the page to the file that it was read from.
func (p *Page) Write() error { return os.WriteFile(p.path, []byte(p.text), 0o644) }

func markers(table string) (begin, end string) {
	return "<!-- " + table + " -->\n", "<!-- end of " + table + " -->"
}

// bounds returns the offsets of the text of a table.
func (p *Page) bounds(table string) (begin, end int, err error) {
	beginMarker, endMarker := markers(table)
	begin, end = strings.Index(p.text, beginMarker), strings.Index(p.text, endMarker)
	if begin < 0 || end < begin {
		return 0, 0, fmt.Errorf("%s: no table between %q and %q", p.path, beginMarker, endMarker)
	}
	return begin + len(beginMarker), end, nil
}

// Table returns the text between the comments of a table.
func (p *Page) Table(table string) (string, error) {
	begin, end, err := p.bounds(table)
	if err != nil {
		return "", err
	}
	return p.text[begin:end], nil
}

// Replace replaces the text between the comments of a table.
func (p *Page) Replace(table, text string) error {
	begin, end, err := p.bounds(table)
	if err != nil {
		return err
	}
	p.text = p.text[:begin] + text + p.text[end:]
	return nil
}

// Slopes returns the rows of the tables of slopes and processor times by name. It returns an error
// for a row that is malformed, is listed twice or has another fit than its values.
func (p *Page) Slopes() (Slopes, error) {
	slopes := Slopes{}
	for _, table := range []string{SlopeTable, TimeTable} {
		rows, err := p.rows(table)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if _, duplicate := slopes[row.Name]; duplicate {
				return nil, fmt.Errorf("slope %s is listed twice", row.Name)
			}
			slopes[row.Name] = row
		}
	}
	return slopes, nil
}

const (
	slopeHeader = "| slope | unit | measured, by size | fit | residual | bends at | within | command |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
	emptyCell   = "-"
)

// rows parses the rows of a table and checks the fit of each.
func (p *Page) rows(table string) (slopes []Slope, err error) {
	text, err := p.Table(table)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		slope, err := parseRow(line)
		if row := slope.Row(); err == nil && row != strings.TrimSpace(line) {
			err = fmt.Errorf("the fit does not match the values: want %s", row)
		}
		if err != nil {
			return nil, fmt.Errorf("table %s: %q: %w", table, strings.TrimSpace(line), err)
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

// parseRow parses a row of a table, and fits its values.
func parseRow(line string) (s Slope, err error) {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	if len(cells) != 8 {
		return s, fmt.Errorf("%d cells, want 8", len(cells))
	}
	for n := range cells {
		cells[n] = strings.TrimSpace(cells[n])
	}
	s.Name, s.Unit, s.Command = strings.Trim(cells[0], "`"), cells[1], strings.Trim(cells[7], "`")
	for pair := range strings.SplitSeq(cells[2], ";") {
		size, value, found := strings.Cut(pair, ":")
		pointSize, sizeErr := parseNumber(size)
		pointValue, valueErr := parseNumber(value)
		if err := errors.Join(sizeErr, valueErr); !found || err != nil || pointValue <= 0 {
			return s, fmt.Errorf("point %q is not SIZE: VALUE with a positive value", pair)
		}
		s.Points = append(s.Points, Point{int(pointSize), pointValue})
	}
	if len(s.Points) < 2 {
		return s, errors.New("fewer than two sizes")
	}
	if cells[6] != emptyCell {
		if s.Tolerance, err = parseNumber(cells[6]); err != nil || s.Tolerance < 1 {
			return s, fmt.Errorf("tolerance %q is not a factor of at least 1", cells[6])
		}
	}
	s.Fit = NewFit(s.Points)
	return s, nil
}

// parseNumber parses a number with commas between thousands.
func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(text), ",", ""), 64)
}

// Row returns the measurement as a row of the page, or an empty string if it has no points.
func (m Measurement) Row() string {
	if len(m.Points) == 0 {
		return ""
	}
	m.Points = roundPoints(m.Points)
	fit := NewFit(m.Points)
	var points []string
	for _, point := range m.Points {
		points = append(points, Number(float64(point.Size))+": "+Number(point.Value))
	}
	tolerance, bendAt := emptyCell, emptyCell
	if m.Tolerance > 0 {
		tolerance = Number(m.Tolerance)
	}
	if fit.BendAt > 0 {
		bendAt = Number(float64(fit.BendAt))
	}
	return fmt.Sprintf("| `%s` | %s | %s | %v | %.2f | %s | %s | `%s` |", m.Name, m.Unit, strings.Join(points, "; "), fit, fit.Residual, bendAt, tolerance, m.Command)
}

// roundPoints returns the points with the values as printed, so that their fit is that of the page.
func roundPoints(points []Point) []Point {
	points = slices.Clone(points)
	for n := range points {
		if value, err := parseNumber(Number(points[n].Value)); err == nil {
			points[n].Value = value
		}
	}
	return points
}

// SetRow replaces the row of a measurement, or adds one.
func (p *Page) SetRow(m Measurement) error {
	table := SlopeTable
	if m.Tolerance == 0 {
		table = TimeTable
	}
	text, err := p.Table(table)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	index := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, "| `"+m.Name+"` |") })
	switch {
	case index >= 0:
		lines[index] = m.Row()
	case strings.Contains(text, slopeHeader):
		lines = append(lines, m.Row())
	default:
		lines = []string{strings.TrimSuffix(slopeHeader, "\n"), m.Row()}
	}
	return p.Replace(table, strings.Join(lines, "\n")+"\n")
}

// Refit recomputes the fits of all rows of the tables of slopes and processor times.
func (p *Page) Refit() error {
	for _, table := range []string{SlopeTable, TimeTable} {
		text, err := p.Table(table)
		if err != nil {
			return err
		}
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "| `") {
				continue
			}
			slope, err := parseRow(line)
			if err == nil {
				err = p.SetRow(slope.Measurement)
			}
			if err != nil {
				return fmt.Errorf("table %s: %q: %w", table, strings.TrimSpace(line), err)
			}
		}
	}
	return nil
}

// Compare returns an error if a value differs from that of the page at the same size by more than
// the tolerance of the page, either way, or if the page has no such value or tolerance.
func (s Slopes) Compare(m Measurement) error {
	row, found := s[m.Name]
	if !found {
		return fmt.Errorf("slope %s is not on the page", m.Name)
	}
	if row.Tolerance == 0 {
		return fmt.Errorf("slope %s has no tolerance on the page", m.Name)
	}
	for _, point := range m.Points {
		index := slices.IndexFunc(row.Points, func(expected Point) bool { return expected.Size == point.Size })
		if index < 0 {
			return fmt.Errorf("slope %s has no value at size %d on the page", m.Name, point.Size)
		}
		expected := row.Points[index].Value
		if ratio := point.Value / expected; math.IsNaN(ratio) || ratio > row.Tolerance || ratio < 1/row.Tolerance {
			return fmt.Errorf("slope %s at size %d: measured %s, the page has %s: a factor of %.2f, tolerance is %s",
				m.Name, point.Size, Number(point.Value), Number(expected), ratio, Number(row.Tolerance))
		}
	}
	return nil
}

// Number formats a number with three significant digits, all digits before the point, and commas
// between thousands.
func Number(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprint(value)
	}
	const significantDigits = 3
	digits := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits < 0 {
		digits = 0
	}
	text := strconv.FormatFloat(value, 'f', digits, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	whole, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction != "" {
		whole += "." + fraction
	}
	return sign + whole
}

// CompareOrUpdate compares the measurement with the page at path or, if update is set, writes it
// to that page.
func (m Measurement) CompareOrUpdate(path string, update bool) error {
	page, err := ReadPage(path)
	if err != nil {
		return err
	}
	if update {
		if err := page.SetRow(m); err != nil {
			return err
		}
		return page.Write()
	}
	slopes, err := page.Slopes()
	if err != nil {
		return err
	}
	return slopes.Compare(m)
}
