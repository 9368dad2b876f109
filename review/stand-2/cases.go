package main

import (
	"fmt"
	"net/http"
	"os"
)

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
