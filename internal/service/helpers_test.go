package service

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"snowquay/internal/settings"
)

// runningProgram is a program that runs in the process of the test.
type runningProgram struct {
	stop chan os.Signal
	done chan error
}

func start(serve func(stop <-chan os.Signal) error) *runningProgram {
	r := &runningProgram{stop: make(chan os.Signal, 1), done: make(chan error, 1)}
	go func() { r.done <- serve(r.stop) }()
	return r
}

// end stops the program with a signal. It fails the test if the program returns an error.
func (r *runningProgram) end(t testing.TB) {
	t.Helper()
	r.stop <- os.Interrupt
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}

func startCoordinator(config *settings.Coordinator) *runningProgram {
	return start(func(stop <-chan os.Signal) error { return Serve(config, slog.New(slog.DiscardHandler), stop) })
}

func startProxy(config *settings.Proxy) *runningProgram {
	return start(func(stop <-chan os.Signal) error { return ServeProxy(config, slog.New(slog.DiscardHandler), stop) })
}

// parseExample parses the example settings of a coordinator after replacements in their text. replacements are old
// and new texts in turn.
func parseExample(t *testing.T, replacements ...string) *settings.Coordinator {
	t.Helper()
	return parseCoordinator(t, strings.NewReplacer(replacements...).Replace(readFile(t, "../../docs/example.xml")))
}

func parseCoordinator(t *testing.T, text string) *settings.Coordinator {
	t.Helper()
	config, err := settings.ParseCoordinator("example.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// eventually polls a condition, and fails the test with the text of failure if it does not hold within 20 seconds.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

// apiResponse is a response of the administration API.
type apiResponse struct {
	status int
	body   string
	header http.Header
}

// callAPI calls the administration API at an address. headers are names and values in turn.
func callAPI(t *testing.T, address, key, method, path, body string, headers ...string) apiResponse {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return apiResponse{status: response.StatusCode, body: string(text), header: response.Header}
}

// get returns the body of the response to a GET request.
func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// metricNames returns the names, types and help texts in a response of the metrics endpoint, without those of the Go
// runtime.
func metricNames(metrics string) []byte {
	var names []byte
	for line := range strings.Lines(metrics) {
		if strings.HasPrefix(line, "# ") && strings.Contains(line, " snowquay_") {
			names = append(names, line...)
		}
	}
	return names
}
