"""Constants of keys and quotas of workspaces."""

# A removed key stops working within this time if the settings name no other
# (`revoke_s`).
REVOKE_MS = 5000.0
