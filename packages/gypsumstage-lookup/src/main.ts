#!/usr/bin/env node
import { runRole } from "@gypsumstage/shared/runRole";
import { startLookup } from "./startLookup.js";

runRole("gypsumstage-lookup", startLookup);
