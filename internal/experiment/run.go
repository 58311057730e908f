package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"snowquay/internal/console"
	"snowquay/internal/settings"
)

// Run runs the cells of which a folder has no record, up to jobs at once, and prints its progress. With jobs of 0 or less
// it runs as many at once as there are processors. An arm of another program is run by that program. Run returns the
// errors of all cells that failed.
func Run(folder *Folder, experiment *settings.Experiment, jobs int, progress io.Writer) error {
	cells := Cells(experiment)
	var missing []Cell
	for _, cell := range cells {
		if !folder.HasRecord(cell) {
			missing = append(missing, cell)
		}
	}
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	console.Printf(progress, "%d of %d are there, %d to be played, %d at once\n", len(cells)-len(missing), len(cells), len(missing), jobs)
	report := &progressReport{out: progress, total: len(missing), start: time.Now()}
	next := make(chan Cell)
	var workers sync.WaitGroup
	for range jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for cell := range next {
				record, err := folder.runCell(experiment, cell)
				report.cellDone(cell, record, err)
			}
		}()
	}
	for _, cell := range missing {
		next <- cell
	}
	close(next)
	workers.Wait()
	return errors.Join(report.errs...)
}

// progressReport prints the progress of a run, whose workers call it.
type progressReport struct {
	mu             sync.Mutex
	out            io.Writer
	total          int
	start          time.Time
	done           int
	virtualSeconds float64
	errs           []error
}

func (p *progressReport) cellDone(cell Cell, record *Record, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	if err != nil {
		p.errs = append(p.errs, fmt.Errorf("%s: %w", cell.Name(), err))
		console.Printf(p.out, "%d/%d %s: %v\n", p.done, p.total, cell.Name(), err)
		return
	}
	p.virtualSeconds += record.Seconds
	violations := ""
	if broken := record.Broken(); len(broken) > 0 {
		violations = fmt.Sprintf(", BROKEN %v", broken)
	}
	console.Printf(p.out, "%d/%d %s: service %.3f%s; %.0f times real time\n", p.done, p.total, cell.Name(), record.Service, violations,
		p.virtualSeconds/time.Since(p.start).Seconds())
}

// runCell runs a cell and stores its record.
func (f *Folder) runCell(experiment *settings.Experiment, cell Cell) (*Record, error) {
	record, err := f.play(experiment, cell)
	if err != nil {
		return nil, err
	}
	return record, f.Save(cell, record)
}

// play runs a cell in this process, or by the program of its arm.
func (f *Folder) play(experiment *settings.Experiment, cell Cell) (*Record, error) {
	if cell.Arm.Program == "" {
		return RunCell(experiment, cell)
	}
	output, err := exec.Command(cell.Arm.Program, "lab", "one", filepath.Join(f.path, experimentFile), cell.Name()).Output()
	if err != nil {
		return nil, err
	}
	record := &Record{}
	return record, json.Unmarshal(output, record)
}
