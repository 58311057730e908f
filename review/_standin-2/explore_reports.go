package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["explore-reports"] = exploreReports }

// exploreReports sends many spoilt reports among the good ones, and drains servers meanwhile. It is no case.
func exploreReports(r *run) int {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	random := rand.New(rand.NewSource(int64(seed)))
	p, stop := startPlatform(r, bookingSettings(14), 14, 90)
	if p == nil {
		return couldNot
	}
	defer close(stop)
	time.Sleep(8 * time.Second)
	values := []string{"", "-1", "nan", "NaN", "inf", "-0", "1e400", "1e-300", "1e-200", "1e6", "999999.5", "1000000", "60000", "0", "x", "1e-9", "0.001", "3",
		"1e3", "0x1p-1000", "99999999999999999999", "a", "s-0003", "s-9999", "availability", "glasgow-dc"}
	value := func(good string) string {
		if random.Intn(4) > 0 {
			return good
		}
		return values[random.Intn(len(values))]
	}
	for i := range 30 {
		var b strings.Builder
		for range 10 {
			words := []string{"client_stats", "sidecar", value(fmt.Sprint(random.Intn(14))), "kind", value("availability"), "n", value("9"), "bad", value("0"), "window", value("2000.0")}
			if random.Intn(2) == 0 {
				words = []string{"upstream_stats", "az", value("glasgow-dc"), "host", value(fmt.Sprintf("s-%04d", random.Intn(14))), "n", value("9"), "bad", value("0"),
					"avg", value("150.0"), "window", value("2000.0"), "report", value("busy:0.5,rif:3,lat_ms:100")}
			}
			if random.Intn(5) == 0 {
				cut := 1 + random.Intn(len(words)-1)
				words = append(words[:cut:cut], words[cut+1:]...)
			}
			b.WriteString(respMessage(words...))
		}
		p.mu.Lock()
		p.extraReport = b.String()
		p.mu.Unlock()
		time.Sleep(2 * time.Second)
		if i%4 == 3 && i < 28 {
			id := fmt.Sprintf("s-%04d", i/4)
			p.mu.Lock()
			p.servers[id].state = "draining"
			p.mu.Unlock()
			p.change(id)
		}
	}
	time.Sleep(8 * time.Second)
	r.copyLog("coordinator.log")
	return p.judge(r, allRules)
}
