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

// Run runs the cells for which the folder has no record, up to jobs in parallel, and prints the progress. If jobs is
// 0 or less, GOMAXPROCS cells run in parallel. The cells of an arm with its own program are run by that program. Run
// returns the errors of all failed cells.
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
	console.Printf(progress, "%d of %d cells have records, %d to run, %d in parallel\n", len(cells)-len(missing), len(cells), len(missing), jobs)
	printer := &progressPrinter{out: progress, total: len(missing), start: time.Now()}
	next := make(chan Cell)
	var workers sync.WaitGroup
	for range jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for cell := range next {
				record, err := folder.runAndSave(experiment, cell)
				printer.cellDone(cell, record, err)
			}
		}()
	}
	for _, cell := range missing {
		next <- cell
	}
	close(next)
	workers.Wait()
	return errors.Join(printer.errs...)
}

// progressPrinter prints the progress of Run. The workers call it concurrently.
type progressPrinter struct {
	mu               sync.Mutex
	out              io.Writer
	total            int
	start            time.Time
	done             int
	simulatedSeconds float64
	errs             []error
}

// cellDone prints the result of a cell, or stores and prints its error.
func (p *progressPrinter) cellDone(cell Cell, record *Record, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	if err != nil {
		p.errs = append(p.errs, fmt.Errorf("%s: %w", cell.Name(), err))
		console.Printf(p.out, "%d/%d %s: %v\n", p.done, p.total, cell.Name(), err)
		return
	}
	p.simulatedSeconds += record.Seconds
	violations := ""
	if broken := record.Broken(); len(broken) > 0 {
		violations = fmt.Sprintf(", BROKEN %v", broken)
	}
	console.Printf(p.out, "%d/%d %s: service %.3f%s; %.0f times real time\n", p.done, p.total, cell.Name(), record.Service, violations,
		p.simulatedSeconds/time.Since(p.start).Seconds())
}

// runAndSave runs a cell and saves its record.
func (f *Folder) runAndSave(experiment *settings.Experiment, cell Cell) (*Record, error) {
	record, err := f.executeCell(experiment, cell)
	if err != nil {
		return nil, err
	}
	return record, f.Save(cell, record)
}

// executeCell runs a cell in this process, or by the program of its arm if the arm has one.
func (f *Folder) executeCell(experiment *settings.Experiment, cell Cell) (*Record, error) {
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
