package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// runningOn returns the worker on which a task runs, by what the workers have printed.
func (c *cluster) runningOn(task string) (*process, string) {
	var on *process
	run := ""
	for _, line := range c.lines() {
		f := strings.Fields(line)
		if len(f) < 7 || f[4] != task {
			continue
		}
		switch f[3] {
		case "start":
			for _, p := range c.workers {
				if p.name == f[2] {
					on, run = p, f[6]
				}
			}
		case "end":
			if on != nil && on.name == f[2] && strings.TrimSuffix(f[6], ":") == run {
				on = nil
			}
		}
	}
	return on, run
}

// crashes lets the worker of a task crash three times, one at a time. No run of the task fails.
func crashes(record *os.File, trouble bool) error {
	c, err := startCluster(record, 3, 8)
	defer c.close()
	if err != nil {
		return err
	}
	const id = "00000000000000a1"
	const attempts = 2
	path := "/regrade/" + id
	job := `{"spec":"run=10s","steps":[{"count":1,"cpu":4000,"memMb":1000,"estimateMs":10000}]}`
	if status, _ := c.call(0, http.MethodPost, path, job); status != http.StatusOK {
		return fmt.Errorf("%w: the job was not accepted", errSetup)
	}
	task, last := id+".0.0.0", ""
	for range 3 {
		if !trouble {
			break
		}
		var on *process
		started := func() bool {
			p, run := c.runningOn(task)
			if p == nil || run == last {
				return false
			}
			on, last = p, run
			return true
		}
		if !until(12*time.Second, started) {
			break // The job has ended, or is not started again.
		}
		time.Sleep(2 * time.Second)
		c.kill(on)
		time.Sleep(3 * time.Second)
		if err := c.launch(on); err != nil {
			return err
		}
	}
	state := ""
	until(30*time.Second, func() bool {
		time.Sleep(450 * time.Millisecond)
		state = c.state(1, path)
		return state == "done" || state == "failed" || state == "cancelled"
	})
	failed := 0
	for _, line := range c.lines() {
		if strings.Contains(line, "end "+task) && strings.HasSuffix(line, ": failed") {
			failed++
		}
	}
	c.note("the job is shown as %s; %d of its runs ended as failed; its queue allows %d attempts", state, failed, attempts)
	switch {
	case state == "failed" && failed < attempts:
		return fmt.Errorf("%w: LOST: the job is shown as failed, and %d runs ended so", errBroken, failed)
	case state != "done":
		return fmt.Errorf("%w: the job is %s", errSetup, state)
	}
	return nil
}

// cancelled asks for the cancellation of a job that nobody has submitted.
func cancelled(record *os.File, trouble bool) error {
	c, err := startCluster(record, 3, 3)
	defer c.close()
	if err != nil {
		return err
	}
	const path = "/check/00000000000000b2"
	if trouble {
		if status, _ := c.call(0, http.MethodDelete, path, ""); status != http.StatusGone && status != http.StatusOK {
			return fmt.Errorf("%w: the cancellation was answered %d", errSetup, status)
		}
	}
	for vm := range c.vms {
		if state := c.state(vm, path); state != "410" {
			return fmt.Errorf("%w: MIXED: a job that nobody submitted is shown as %s", errBroken, state)
		}
	}
	return nil
}
