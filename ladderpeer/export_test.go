package ladderpeer

import "time"

// SetUnusedTimeout sets how long a connection of the client may be unused before it is closed.
func (c *Client) SetUnusedTimeout(d time.Duration) { c.unusedTimeout = d }
